package peer

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"

	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// Minimum sizes in bytes of messages that are compressed. Compression makes smaller
// ones larger.
const (
	minCompressed = 4 << 10
	// minCompressedRequest is for states and digests. They compress well, as they
	// repeat the names of the same agents and teams.
	minCompressedRequest = 1 << 10
)

// Clients creates and caches the clients of agents and entries by their address.
type Clients struct {
	HTTP   *http.Client
	Scheme string
	// Options apply to every client, for example interceptors.
	Options []connect.ClientOption

	agents  sync.Map // Address to sniperillv1connect.AgentServiceClient.
	entries sync.Map // Address to sniperillv1connect.EntryServiceClient.
}

// Agent returns the client of the agent at an address.
func (c *Clients) Agent(address string) sniperillv1connect.AgentServiceClient {
	if v, ok := c.agents.Load(address); ok {
		return v.(sniperillv1connect.AgentServiceClient)
	}
	v, _ := c.agents.LoadOrStore(address,
		sniperillv1connect.NewAgentServiceClient(c.HTTP, c.Scheme+"://"+address, c.options(uncompressed())...))
	return v.(sniperillv1connect.AgentServiceClient)
}

// Entry returns the client of the entry at an address.
func (c *Clients) Entry(address string) sniperillv1connect.EntryServiceClient {
	if v, ok := c.entries.Load(address); ok {
		return v.(sniperillv1connect.EntryServiceClient)
	}
	v, _ := c.entries.LoadOrStore(address,
		sniperillv1connect.NewEntryServiceClient(c.HTTP, c.Scheme+"://"+address, c.options(compressed())...))
	return v.(sniperillv1connect.EntryServiceClient)
}

// compressed returns the option of clients that send states and digests: bandwidth
// between processes is scarcer than processor time.
func compressed() connect.ClientOption {
	return connect.WithClientOptions(connect.WithSendGzip(), connect.WithCompressMinBytes(minCompressedRequest))
}

// uncompressed returns the option of clients that send the bodies of requests and answers,
// which compression would delay.
func uncompressed() connect.ClientOption { return connect.WithAcceptCompression("gzip", nil, nil) }

func (c *Clients) options(o connect.ClientOption) []connect.ClientOption {
	return append([]connect.ClientOption{o}, c.Options...)
}

// Traced returns the option that records a trace span for each call.
func Traced() (connect.Option, error) {
	i, err := otelconnect.NewInterceptor(otelconnect.WithTrustRemote(), otelconnect.WithoutMetrics(), otelconnect.WithoutServerPeerAttributes())
	if err != nil {
		return nil, err
	}
	return connect.WithInterceptors(i), nil
}

// Bearer returns the option that authenticates a caller or an operator by a bearer
// token.
func Bearer(token string) connect.ClientOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, r)
		}
	}))
}

// ClientOptions returns the options of callers' and operators' clients: a bearer
// token, and a trace span for each call.
func ClientOptions(token string) []connect.ClientOption {
	options := []connect.ClientOption{Bearer(token)}
	if traced, err := Traced(); err == nil {
		options = append(options, traced)
	}
	return options
}
