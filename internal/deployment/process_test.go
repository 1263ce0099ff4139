package deployment

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/keys"
	"sniperill.example/sniperill/internal/settings"
	"sniperill.example/sniperill/pkg/caller"
	"sniperill.example/sniperill/pkg/operator"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// placeholderAddress passes the validation of settings files. The tests replace it by
// loopback, to listen on ports that the system chooses.
const placeholderAddress = "127.0.0.1:7000"

// processes runs processes from settings files, as the subcommands do.
type processes struct {
	*testing.T

	folder string
	keys   keys.Folder
}

// start starts a process, and returns its addresses once it listens.
func (p processes) start(role func(ctx context.Context, r Runner) error) Addresses {
	p.Helper()
	opened, ended := make(chan Addresses, 1), make(chan error, 1)
	ctx, stop := context.WithCancel(context.Background())
	go func() { ended <- role(ctx, Runner{Out: io.Discard, OnListening: func(a Addresses) { opened <- a }}) }()
	select {
	case addresses := <-opened:
		p.Cleanup(func() {
			stop()
			if err := <-ended; err != nil {
				p.Errorf("process ended with error: %v", err)
			}
		})
		return addresses
	case err := <-ended:
		stop()
		p.Fatal(err)
		return Addresses{}
	}
}

// writeSettings writes settings to a file and reads them back into target.
func (p processes) writeSettings(name string, values map[string]any, target any) {
	p.Helper()
	data, err := json.Marshal(values)
	if err != nil {
		p.Fatal(err)
	}
	file := filepath.Join(p.folder, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		p.Fatal(err)
	}
	if err := settings.Read(file, target); err != nil {
		p.Fatal(err)
	}
}

// issueKeys writes the certificate and key of a process to files, as "sniperill keys issue"
// does, and returns the settings that name them.
func (p processes) issueKeys(role keys.Role, name string) map[string]any {
	p.Helper()
	a, err := p.keys.Authority()
	if err != nil {
		p.Fatal(err)
	}
	pair, err := a.Issue(role, name, time.Now(), "127.0.0.1")
	if err != nil {
		p.Fatal(err)
	}
	if err := p.keys.WritePair(name, pair); err != nil {
		p.Fatal(err)
	}
	return map[string]any{
		"authority":   p.keys.Path(keys.AuthorityFile),
		"certificate": p.keys.Path(name + ".pem"), "key": p.keys.Path(name + "-key.pem"),
	}
}

func (p processes) startStandIn(kind StandInKind) string {
	p.Helper()
	var s settings.StandIn
	p.writeSettings(string(kind), map[string]any{"listen": placeholderAddress}, &s)
	s.Listen = loopback
	return p.start(func(ctx context.Context, r Runner) error { return r.RunStandIn(ctx, kind, s) }).URL
}

// TestProcesses runs an entry, an agent and the stand-ins from their settings files, and
// runs one job and one request on them.
func TestProcesses(t *testing.T) {
	p := processes{t, t.TempDir(), keys.Folder(t.TempDir())}
	authority, err := keys.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if err := p.keys.WriteAuthority(authority); err != nil {
		t.Fatal(err)
	}
	log, worker, backend := p.startStandIn(StandInLog), p.startStandIn(StandInWorker), p.startStandIn(StandInBackend)

	var e settings.Entry
	p.writeSettings("entry-1", map[string]any{
		"name": "entry-1", "place": shop.Place{Region: "klang", Zone: "klang-a"}, "log": log,
		"keys": p.issueKeys(keys.RoleEntry, "entry-1"), "peers": placeholderAddress, "callers": placeholderAddress, "shutdown-timeout": "5s",
	}, &e)
	e.Peers, e.Callers = loopback, loopback
	entry := p.start(func(ctx context.Context, r Runner) error { return r.RunEntry(ctx, context.Background(), e) })

	var a settings.Agent
	p.writeSettings("worker-1", map[string]any{
		"name": "worker-1", "place": shop.Place{Region: "klang", Zone: "klang-a", Rack: "rack-1", Worker: "worker-1"},
		"entries": []string{entry.Peers}, "keys": p.issueKeys(keys.RoleAgent, "worker-1"), "peers": placeholderAddress,
		"worker": worker, "backend": backend, "accelerators": 8, "cores": 32, "memory": "128GiB", "shutdown-timeout": "5s",
	}, &a)
	a.Peers = loopback
	p.start(func(ctx context.Context, r Runner) error { return r.RunAgent(ctx, context.Background(), a) })

	runJobAndRequest(t, &Local{Authority: authority}, "https://"+entry.Callers)
}

func runJobAndRequest(t *testing.T, l *Local, url string) {
	t.Helper()
	token := func(principal keys.Principal) string {
		token, err := l.Authority.Token(principal, time.Now(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		return token
	}
	o := &operator.Client{URL: url, Token: token(keys.Principal{Role: keys.RoleOperator, Name: "siti"}), TLS: l.Authority.ClientTLS()}
	o.Open()
	hasOneWorker := func(workers []*sniperillv1.WorkerStatus) bool { return len(workers) == 1 }
	if err := awaitWorkers(t.Context(), o, hasOneWorker); err != nil {
		t.Fatal(err)
	}
	config := shop.Config{
		Teams: shop.TeamList{{Name: "quotes", Guarantees: []shop.Guarantee{
			{Shape: shop.Shape{Accelerators: 4, Adjacency: shop.SameWorker}},
		}}},
		Classes: shop.ClassList{
			{Name: "price-quote", Idempotent: true},
			{Name: "mockup", Idempotent: true, RunTime: shop.Duration(10 * time.Millisecond), Shape: shop.Shape{Accelerators: 4}},
		},
		BackendServers: shop.BackendServerList{{Name: "*", Classes: []string{"price-quote"}}},
	}
	version, err := o.Apply(t.Context(), config, 0, "", false)
	if err != nil {
		t.Fatal(err)
	}
	if err := awaitWorkers(t.Context(), o, allHaveConfig(version)); err != nil {
		t.Fatal(err)
	}
	c := &caller.Client{URL: url, Token: token(keys.Principal{Role: keys.RoleCaller, Team: "quotes"}), TLS: l.Authority.ClientTLS()}
	c.Open()
	id, err := c.Submit(t.Context(), caller.Submission{Class: "mockup"})
	if err != nil {
		t.Fatal(err)
	}
	if s, err := c.Wait(t.Context(), id); err != nil || s.State != shop.Done {
		t.Errorf("job: status %+v, error %v", s, err)
	}
	answer, err := c.Call(t.Context(), caller.Request{Class: "price-quote", Body: []byte("chalk")})
	if err != nil || !strings.Contains(string(answer.Body), "chalk") {
		t.Errorf("request: answer %s, error %v", answer.Body, err)
	}
}
