package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
)

// Handle registers a function on messages as the handler of a procedure.
func Handle[Req, Res any](
	mux *http.ServeMux, procedure string, f func(context.Context, *Req) (*Res, error), options ...connect.HandlerOption,
) {
	options = append([]connect.HandlerOption{connect.WithCompressMinBytes(minCompressed)}, options...)
	mux.Handle(procedure, connect.NewUnaryHandler(procedure,
		func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
			res, err := f(ctx, r.Msg)
			if err != nil {
				return nil, ToConnect(err)
			}
			return connect.NewResponse(res), nil
		}, options...))
}

// Call sends one message with a method of a generated client.
func Call[Req, Res any](
	ctx context.Context, method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), req *Req,
) (*Res, error) {
	res, err := method(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, FromConnect(err)
	}
	return res.Msg, nil
}
