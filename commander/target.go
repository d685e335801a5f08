package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun/operator"
)

// target is the daemon that operators' commands speak to.
type target struct {
	url      string
	token    string
	patience time.Duration // longest wait for a change to come into force
}

// defaultPatience is the longest wait for a change to come into force.
const defaultPatience = time.Minute

// CallError reports a call that the daemon refused or that got no answer.
type CallError struct {
	Status int // HTTP status; 0 without an answer
	Detail string
	Write  bool // the call may have changed something
}

func (e *CallError) Error() string { return e.Detail }

func (e *CallError) exitStatus() int {
	switch {
	case e.Status == http.StatusConflict:
		return exitConflict
	case e.Status == http.StatusBadRequest:
		return exitUsage
	case e.Status == 0 && e.Write, strings.Contains(e.Detail, "result unknown"):
		return exitUnknown
	}
	return exitFailed
}

// callTimeout bounds a call, but for watches.
const callTimeout = 20 * time.Second

func (t *target) get(ctx context.Context, path string, answer any) error {
	return t.call(ctx, http.MethodGet, path, nil, answer)
}

func (t *target) post(ctx context.Context, path string, body, answer any) error {
	return t.call(ctx, http.MethodPost, path, body, answer)
}

func (t *target) call(ctx context.Context, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := t.open(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Close() }()
	if err := json.NewDecoder(reply).Decode(answer); err != nil {
		return &CallError{Detail: "the answer broke off: " + err.Error(), Write: method != http.MethodGet}
	}
	return nil
}

// open sends a call and returns the body of a good answer.
func (t *target) open(ctx context.Context, method, path string, body any) (io.ReadCloser, error) {
	if t.url == "" {
		return nil, &UsageError{Cause: errors.Wrap(&CallError{Detail: "set --operator or CATKINRUN_OPERATOR"}, "no daemon named")}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, &UsageError{Cause: err}
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(t.url, "/")+path, bytes.NewReader(raw))
	if err != nil {
		return nil, &UsageError{Cause: err}
	}
	token := t.token
	if token == "" {
		token = os.Getenv("CATKINRUN_TOKEN")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, &CallError{Detail: err.Error(), Write: method != http.MethodGet}
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		return nil, readProblem(response)
	}
	return response.Body, nil
}

func readProblem(response *http.Response) error {
	var p operator.Problem
	if err := json.NewDecoder(response.Body).Decode(&p); err != nil || p.Detail == "" {
		p.Detail = fmt.Sprintf("the daemon answered %s", response.Status)
	}
	return &CallError{Status: response.StatusCode, Detail: p.Detail}
}
