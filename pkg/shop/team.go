package shop

import (
	"fmt"
	"strconv"
)

// Guarantee entitles a team to run Count instances of a shape at any time.
type Guarantee struct {
	Shape Shape `json:"shape"`
	Count int   `json:"count"`
}

// MaxGuaranteeCount is the maximum Guarantee.Count. Packing needs memory for each instance.
const MaxGuaranteeCount = 100_000

// Team is a group of users with its guarantees, quota and fair-share weight.
type Team struct {
	Name       string      `json:"name"`
	Guarantees []Guarantee `json:"guarantees,omitempty"`
	// Quota is the maximum number of accelerators in use at once; zero means no limit.
	Quota int `json:"quota,omitempty"`
	// Weight is the team's weight in weighted fair sharing.
	Weight float64 `json:"weight,omitempty"`
}

// SetDefaults sets the fields that are zero to their defaults.
func (t *Team) SetDefaults() {
	if t.Weight == 0 {
		t.Weight = 1
	}
	for i := range t.Guarantees {
		t.Guarantees[i].Shape.SetDefaults()
		if t.Guarantees[i].Count == 0 {
			t.Guarantees[i].Count = 1
		}
	}
}

// Validate returns the invalid fields of the team.
func (t Team) Validate() ProblemList {
	var l ProblemList
	l.Under("name", validateName(t.Name))
	if t.Weight <= 0 {
		l.Add("weight", fmt.Sprint(t.Weight), "must be above zero")
	}
	if t.Quota < 0 {
		l.Add("quota", strconv.Itoa(t.Quota), "must not be negative")
	}
	if t.Quota > 0 && t.GuaranteedAccelerators() > t.Quota {
		l.Add("quota", strconv.Itoa(t.Quota),
			fmt.Sprintf("is below the %d accelerators guaranteed", t.GuaranteedAccelerators()))
	}
	for i, g := range t.Guarantees {
		field := fmt.Sprintf("guarantees[%d]", i)
		l.Under(field+".shape", g.Shape.Validate())
		if g.Count < 1 {
			l.Add(field+".count", strconv.Itoa(g.Count), "must be above zero")
		}
		if g.Count > MaxGuaranteeCount {
			l.Add(field+".count", strconv.Itoa(g.Count), fmt.Sprintf("must be at most %d", MaxGuaranteeCount))
		}
	}
	return l
}

// GuaranteedAccelerators returns the number of accelerators of all guarantees together.
func (t Team) GuaranteedAccelerators() int {
	n := 0
	for _, g := range t.Guarantees {
		n += g.Count * g.Shape.TotalAccelerators()
	}
	return n
}

// TeamList holds the teams of a configuration, sorted by name.
type TeamList []Team

// Find returns the team with a name, and false when there is none.
func (l TeamList) Find(name string) (Team, bool) {
	for _, t := range l {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
