package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/backend"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// newAgent returns an agent with a backend server whose requests take a second.
func newAgent(t *testing.T) (*Agent, *standin.Backend) {
	b := &standin.Backend{ServiceTime: func(string) time.Duration { return time.Second }}
	l := standin.NewListener()
	server := &http.Server{Handler: b}
	go func() { _ = server.Serve(l) }()
	a := &Agent{
		Worker:       shop.Worker{Place: shop.Place{Worker: "w1"}},
		WorkerClient: sniperillv1connect.NewWorkerServiceClient(http.DefaultClient, "http://worker"),
		BackendURL:   "http://backend",
		DialBackend:  l.Dial,
	}
	a.init()
	t.Cleanup(func() {
		if a.backend != nil {
			a.backend.Close()
		}
		_ = server.Close()
	})
	return a, b
}

// TestLimitsChange checks that requests that began under an earlier configuration
// count towards the limits of the next one, even if no backend server was configured
// in between.
func TestLimitsChange(t *testing.T) {
	const none = 0
	tests := []struct {
		name    string
		slots   []int // By configuration, in the order of versions.
		started []int // How many of the ten requests sent after each configuration begin at once.
	}{
		{"lowered", []int{4, 2}, []int{4, 0}},
		{"raised", []int{2, 5}, []int{2, 3}},
		{"removed and restored", []int{4, none, 4}, []int{4, 0, 0}},
		{"removed and restored with more", []int{4, none, 6}, []int{4, 0, 2}},
		{"unchanged", []int{4, 4}, []int{4, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := newAgent(t)
				var sent sync.WaitGroup
				var started []int
				for i, slots := range tt.slots {
					c := shop.Config{Version: uint64(i + 1)}
					if slots != none {
						c.BackendServers = shop.BackendServerList{{Name: "*", Classes: []string{"quote"}, Slots: slots, Connections: slots}}
					}
					data, err := json.Marshal(c)
					if err != nil {
						t.Fatal(err)
					}
					a.applyConfig(data)
					before := len(b.AllRuns())
					for n := range 10 {
						sent.Go(func() {
							_, err := a.send(t.Context(), backend.Request{ID: fmt.Sprint(i, "-", n), Class: "quote"})
							if err != nil && !errors.Is(err, shop.ErrNotRun) {
								t.Errorf("send: %v", err)
							}
						})
					}
					synctest.Wait()
					started = append(started, len(b.AllRuns())-before)
				}
				if d := cmp.Diff(tt.started, started); d != "" {
					t.Errorf("started after each configuration: %s", d)
				}
				sent.Wait()
			})
		})
	}
}
