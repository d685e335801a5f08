// Package storer is the thin client of the platform's table and object store.
// The platform's protocol here is HTTP with JSON; another protocol needs only
// another implementation of catkinrun.Table and catkinrun.ObjectStore.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/catkinrun/catkinrun"
)

// maxReply bounds the bytes read of one reply.
const maxReply = 256 << 20

// Client speaks to the platform's store.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the platform at base, an http URL. Each call is given
// up after timeout.
func New(base string, timeout time.Duration, client *http.Client) *Client {
	return &Client{base: base, timeout: timeout, http: client}
}

// Get implements catkinrun.Table.
func (c *Client) Get(ctx context.Context, key string) (catkinrun.Row, error) {
	var row catkinrun.Row
	err := c.call(ctx, http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// Scan implements catkinrun.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]catkinrun.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []catkinrun.Row
	err := c.call(ctx, http.MethodGet, "/table/scan?"+query.Encode(), nil, &rows)
	return rows, err
}

// Commit implements catkinrun.Table.
func (c *Client) Commit(ctx context.Context, t catkinrun.Transaction) error {
	body, err := json.Marshal(t)
	if err != nil {
		return &catkinrun.StoreError{Operation: "encode transaction", Cause: err}
	}
	return c.call(ctx, http.MethodPost, "/table/commit", body, nil)
}

// PutObject implements catkinrun.ObjectStore.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	return c.call(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), body, nil)
}

// GetObject implements catkinrun.ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	err := c.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil, &body)
	return body, err
}

// call sends one request. A []byte target takes the raw reply, others JSON.
func (c *Client) call(ctx context.Context, method, path string, body []byte, target any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &catkinrun.StoreError{Operation: path, Cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &catkinrun.StoreError{Operation: path, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return &catkinrun.StoreError{Operation: path, Cause: err}
	}
	if err := check(response, path, reply); err != nil {
		return err
	}
	return decode(path, reply, target)
}

func check(response *http.Response, path string, reply []byte) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return &catkinrun.CheckError{Key: string(reply)}
	case http.StatusNotFound:
		return &catkinrun.NotFoundError{Kind: "object", Name: path}
	}
	return &catkinrun.StoreError{Operation: path, Cause: &StatusError{Status: response.StatusCode}}
}

func decode(path string, reply []byte, target any) error {
	if target == nil {
		return nil
	}
	if raw, ok := target.(*[]byte); ok {
		*raw = reply
		return nil
	}
	if err := json.Unmarshal(reply, target); err != nil {
		return &catkinrun.StoreError{Operation: path, Cause: err}
	}
	return nil
}

// StatusError reports an HTTP status that is no answer of the store.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }
