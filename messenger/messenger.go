// Package messenger implements RPC between daemons: unary connect-go calls with plain
// structs encoded in CBOR. A message that has a Validate method is validated when it is
// decoded.
package messenger

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
)

// MaxMessageBytes is the maximum size of a message.
const MaxMessageBytes = 64 << 20

// codec encodes plain structs in CBOR.
type codec struct{}

func (codec) Name() string { return "cbor" }

func (codec) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

func (codec) Unmarshal(data []byte, message any) error { return Decode(data, message) }

// Encode returns a message encoded in CBOR.
func Encode(message any) ([]byte, error) { return cbor.Marshal(message) }

// Decode decodes a message and validates it.
func Decode(data []byte, message any) error {
	if err := cbor.Unmarshal(data, message); err != nil {
		return err
	}
	if v, ok := message.(interface{ Validate() error }); ok {
		return v.Validate()
	}
	return nil
}

// Handle registers a procedure on a mux. The client receives an error of handler with
// its connect code, or with the code unknown if it has none.
func Handle[Req, Res any](mux *http.ServeMux, procedure string, handler func(context.Context, *Req) (*Res, error)) {
	unary := func(ctx context.Context, request *connect.Request[Req]) (*connect.Response[Res], error) {
		response, err := handler(ctx, request.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(response), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, unary,
		connect.WithCodec(codec{}), connect.WithReadMaxBytes(MaxMessageBytes)))
}

// Client calls procedures of other daemons.
type Client struct {
	http connect.HTTPClient
}

// New returns a client that sends its requests through an HTTP client.
func New(client connect.HTTPClient) *Client { return &Client{http: client} }

// Call sends a message to the daemon at address, IP and port, and returns its response.
func Call[Req, Res any](ctx context.Context, c *Client, address, procedure string, message *Req) (*Res, error) {
	client := connect.NewClient[Req, Res](c.http, "http://"+address+procedure,
		connect.WithCodec(codec{}), connect.WithReadMaxBytes(MaxMessageBytes))
	response, err := client.CallUnary(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
