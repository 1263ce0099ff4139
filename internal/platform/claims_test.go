package platform

import "testing"

func claimRecord(id, digest string, asOf uint64) Record {
	return Record{ID: id, Kind: KindClaim, AsOf: asOf, Claim: &Claim{Team: "t", Key: "k", Digest: digest, Request: "request-" + id}}
}

func TestClaimsOrder(t *testing.T) {
	void := func(id string, asOf uint64) Record {
		return voidClaim(asOf, id, Claim{Team: "t", Key: "k", Request: "request-" + id})
	}
	tests := []struct {
		name    string
		records []Record
		holder  string
	}{
		{"first wins", []Record{claimRecord("a", "d", 0), claimRecord("b", "d", 0)}, "a"},
		{"repeated append", []Record{claimRecord("a", "d", 0), claimRecord("b", "d", 0), claimRecord("a", "d", 0)}, "a"},
		{"released", []Record{claimRecord("a", "d", 0), void("a", 1), claimRecord("b", "d", 2)}, "b"},
		{"released with a later claim", []Record{claimRecord("a", "d", 0), claimRecord("b", "d", 0), void("a", 1)}, "b"},
		{"voided before it is appended", []Record{void("a", 0), claimRecord("b", "d", 0), claimRecord("a", "d", 0)}, "b"},
		{"appended again after its release", []Record{claimRecord("a", "d", 0), void("a", 1), claimRecord("a", "d", 0)}, ""},
		{"as of an offset after the record", []Record{claimRecord("a", "d", 9)}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStream()
			for _, r := range tt.records {
				s.add(r)
			}
			c := &Claims{}
			s.read(&reader{apply: c.Apply, missed: c.Missed}, allRecords)
			got := ""
			if held := c.keys[claimKey{"t", "k"}]; len(held) > 0 {
				got = held[0].ID
			}
			if got != tt.holder {
				t.Errorf("held by %q, want %q", got, tt.holder)
			}
		})
	}
}

// A claim holds its key for the TTL by the log's clock, and no longer.
func TestClaimsExpire(t *testing.T) {
	s := newStream()
	s.add(claimRecord("a", "d", 0))
	s.now = s.now.Add(DefaultClaimTTL)
	s.add(claimRecord("b", "d", 1))
	c := &Claims{}
	s.read(&reader{apply: c.Apply, missed: c.Missed}, allRecords)
	if held := c.keys[claimKey{"t", "k"}]; len(held) != 1 || held[0].ID != "b" || c.byOffset.Len() != 1 {
		t.Errorf("held: %+v, %d in order", held, c.byOffset.Len())
	}
}
