package shop

// Owned is the part of a worker that a team owns to back its guarantees. Work of another
// team on it is a borrower, and is preempted when the owner needs the accelerators.
type Owned struct {
	Worker       string `json:"worker"`
	Team         string `json:"team"`
	Accelerators Mask   `json:"accelerators"`
	Cores        int    `json:"cores"`
	Memory       Bytes  `json:"memory"`
}

// OwnedList holds what all teams own, with at most one element per worker and team.
type OwnedList []Owned

// Accelerators returns the number of accelerators that a team owns on all workers.
func (l OwnedList) Accelerators(team string) int {
	n := 0
	for _, o := range l {
		if o.Team == team {
			n += o.Accelerators.Len()
		}
	}
	return n
}
