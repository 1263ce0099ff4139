package guarantee

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/pkg/shop"
)

func ExamplePack() {
	workers := shop.WorkerList{
		{Place: shop.Place{Rack: "a", Worker: "w1"}, Accelerators: 2},
		{Place: shop.Place{Rack: "a", Worker: "w2"}, Accelerators: 2},
	}
	teams := shop.TeamList{{Name: "quotes", Guarantees: []shop.Guarantee{
		{Shape: shop.Shape{Tasks: 3, Accelerators: 1, Adjacency: shop.SameRack}, Count: 1},
	}}}
	p := Pack(teams, workers, nil, Packing{})
	for _, o := range p.Owned() {
		fmt.Printf("%s %s %02b\n", o.Worker, o.Team, o.Accelerators)
	}
	fmt.Printf("%q %q\n", p.OwnerOf("w1", 0), p.OwnerOf("w2", 1))
	// Output:
	// w1 quotes 11
	// w2 quotes 01
	// "quotes" ""
}

func TestCheck(t *testing.T) {
	workers := testWorkers(6, 4, 1)
	tests := []struct {
		name  string
		teams shop.TeamList
		want  string
	}{
		{"packs", shop.TeamList{team("a", shop.Guarantee{Shape: shape(12, 1, shop.SameRack), Count: 2})}, ""},
		{
			"too large",
			shop.TeamList{team("a", shop.Guarantee{Shape: shape(13, 1, shop.SameRack), Count: 1})},
			"teams.a.guarantees[0] = 13x1 accelerators, rack: only 0 of 1 can be packed: the shape is too large for the hardware; " +
				"the largest shape that still packs is 12x1 accelerators, rack",
		},
		{
			"crowded",
			shop.TeamList{
				team("a", shop.Guarantee{Shape: shape(3, 4, shop.SameRack), Count: 1}),
				team("b", shop.Guarantee{Shape: shape(1, 0, shop.Anywhere), Count: 1}, shop.Guarantee{Shape: shape(1, 3, shop.Anywhere), Count: 4}),
			},
			"teams.b.guarantees[1] = 1x3 accelerators, any: only 3 of 4 can be packed beside the other guarantees; " +
				"the largest shape that still packs is 1x1 accelerators, any",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Check(shop.Config{Teams: tt.teams}, workers)
			got := ""
			if err != nil {
				got = err.Error()
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Error(d)
			}
			if err != nil && !errors.Is(err, shop.ErrInvalid) {
				t.Errorf("%T is not shop.ErrInvalid", err)
			}
		})
	}
}

func TestPackSpreadsOverRacks(t *testing.T) {
	teams := shop.TeamList{
		team("a", shop.Guarantee{Shape: shape(1, 2, shop.SameWorker), Count: 1}),
		team("b", shop.Guarantee{Shape: shape(1, 3, shop.SameWorker), Count: 1}),
		team("c", shop.Guarantee{Shape: shape(2, 4, shop.SameZone), Count: 1}),
		team("d", shop.Guarantee{Shape: shape(3, 1, shop.SameRack), Count: 1}),
	}
	if err := Check(shop.Config{Teams: teams}, testWorkers(4, 4, 1)); err != nil {
		t.Error(err)
	}
}

func TestPackKeepsMostCellsInPlace(t *testing.T) {
	workers := testWorkers(48, 8, 7)
	teams := plantedTeams(1, workers, 0.9)
	packed := Pack(teams, workers, nil, Packing{})
	p := Pack(teams, workers, downOnly("worker-0001"), packed)
	if moved := p.Moved(packed); len(p.Shortfalls()) > 0 || moved > len(p.Cells())*2/3 {
		t.Errorf("%d of %d cells moved, %v", moved, len(p.Cells()), p.Shortfalls())
	}
}

func TestPackReportsWorkersDown(t *testing.T) {
	teams := shop.TeamList{team("a", shop.Guarantee{Shape: shape(3, 4, shop.SameRack), Count: 1})}
	p := Pack(teams, testWorkers(3, 4, 1), downOnly("worker-0001"), Packing{})
	want := ShortfallList{{
		Team: "a", Shape: shape(3, 4, shop.SameRack), Count: 1, Cause: WorkersDown,
		Down: []string{"worker-0001"}, Largest: shape(2, 4, shop.SameRack),
	}}
	if d := cmp.Diff(want, p.Shortfalls()); d != "" {
		t.Error(d)
	}
	if !strings.Contains(p.Shortfalls()[0].String(), "down: worker-0001") {
		t.Error(p.Shortfalls()[0])
	}
}

func TestChooseBlock(t *testing.T) {
	tests := []struct {
		name       string
		free, want shop.Mask
		n          int
	}{
		{"partly used group first", 0xff0f, 0x3, 2},
		{"smallest free block", 0b11110100, 0b100, 1},
		{"free group is kept", 0xff70, 0x30, 2},
		{"fragments of partly used groups", 0xff15, 0x15, 3},
		{"no accelerators wanted", 0xff, 0, 0},
	}
	for _, tt := range tests {
		if got := chooseBlock(tt.free, tt.n); got != tt.want {
			t.Errorf("%s: %b, want %b", tt.name, got, tt.want)
		}
	}
}

func TestSwap(t *testing.T) {
	four := shape(4, 1, shop.SameWorker)
	teams := shop.TeamList{team("a", shop.Guarantee{Shape: four, Count: 1}), team("b", shop.Guarantee{Shape: four, Count: 1})}
	workers := testWorkers(3, 4, 1)
	p := Pack(teams, workers, nil, Packing{})
	a, b := CellID{Team: "a"}, CellID{Team: "b"}
	at := func(p Packing, id CellID) string {
		c, _ := p.Cells().Find(id)
		return c.Parts[0].Worker
	}
	idle := func(worker string, m shop.Mask) IdleCapacityList {
		return IdleCapacityList{{worker, m, 32, 64 * shop.GiB}}
	}
	spare := "worker-0002"
	tests := []struct {
		name         string
		idle         IdleCapacityList
		ok           bool
		wantA, wantB string
	}{
		{"onto unowned", idle(spare, 0xf), true, spare, at(p, b)},
		{"with an unused cell", idle(at(p, b), 0xf), true, at(p, b), at(p, a)},
		{"too few idle", idle(spare, 0x7), false, "", ""},
		{"none idle", nil, false, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := p.Swap(a, tt.idle)
			if ok != tt.ok {
				t.Fatalf("Swap: %v", ok)
			}
			if ok && (at(got, a) != tt.wantA || at(got, b) != tt.wantB) {
				t.Errorf("a on %s and b on %s", at(got, a), at(got, b))
			}
		})
	}
	if again := Recover(teams, workers, p.Owned()); again.Moved(p) != 0 {
		t.Errorf("%d cells are not recovered from what their teams own", again.Moved(p))
	}
}
