// Package messenger carries the messages between daemons: unary connect-go calls
// on plain structs in CBOR. A message that has a Validate method is checked when
// it is decoded.
package messenger

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
)

// MaxMessage bounds one message, in bytes.
const MaxMessage = 64 << 20

// codec encodes plain structs in CBOR.
type codec struct{}

func (codec) Name() string { return "cbor" }

func (codec) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

func (codec) Unmarshal(data []byte, message any) error { return Decode(data, message) }

// Encode returns a message's CBOR.
func Encode(message any) ([]byte, error) { return cbor.Marshal(message) }

// Decode reads a message and checks it.
func Decode(data []byte, message any) error {
	if err := cbor.Unmarshal(data, message); err != nil {
		return err
	}
	if v, ok := message.(interface{ Validate() error }); ok {
		return v.Validate()
	}
	return nil
}

// Handle registers a procedure on a mux. An error of handler reaches the caller
// with the code that it carries, or as unknown.
func Handle[Q, A any](mux *http.ServeMux, procedure string, handler func(context.Context, *Q) (*A, error)) {
	unary := func(ctx context.Context, request *connect.Request[Q]) (*connect.Response[A], error) {
		answer, err := handler(ctx, request.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(answer), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, unary,
		connect.WithCodec(codec{}), connect.WithReadMaxBytes(MaxMessage)))
}

// Client calls procedures of other daemons.
type Client struct {
	http connect.HTTPClient
}

// New returns a client.
func New(client connect.HTTPClient) *Client { return &Client{http: client} }

// Call sends a message to the daemon at address, IP and port, and returns its answer.
func Call[Q, A any](ctx context.Context, c *Client, address, procedure string, message *Q) (*A, error) {
	client := connect.NewClient[Q, A](c.http, "http://"+address+procedure,
		connect.WithCodec(codec{}), connect.WithReadMaxBytes(MaxMessage))
	response, err := client.CallUnary(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
