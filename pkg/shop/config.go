package shop

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
)

// Config is one version of the configuration. It is immutable: methods return changed copies.
type Config struct {
	Version        uint64            `json:"version"`
	Teams          TeamList          `json:"teams"`
	Classes        ClassList         `json:"classes"`
	BackendServers BackendServerList `json:"backend-servers"`
	Policy         Policy            `json:"policy"`
	// EvacuatedZones are the availability zones that take no new work, sorted: ZONE in each region, or REGION/ZONE.
	// Changes of the rest of the configuration keep them.
	EvacuatedZones []string `json:"evacuated-zones,omitempty"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func validateName(name string) ProblemList {
	var l ProblemList
	if !namePattern.MatchString(name) {
		l.Add("", name, "must be 1 to 63 lower-case letters, digits and inner hyphens")
	}
	return l
}

func validatePositive(d Duration) ProblemList {
	var l ProblemList
	if d <= 0 {
		l.Add("", d.String(), "must be above zero")
	}
	return l
}

// WithDefaults returns a copy with defaults set and its lists sorted by name.
func (c Config) WithDefaults() Config {
	c.Teams = slices.Clone(c.Teams)
	for i := range c.Teams {
		c.Teams[i].Guarantees = slices.Clone(c.Teams[i].Guarantees)
		c.Teams[i].SetDefaults()
	}
	slices.SortFunc(c.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	c.Classes = slices.Clone(c.Classes)
	for i := range c.Classes {
		c.Classes[i].SetDefaults()
	}
	slices.SortFunc(c.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	c.BackendServers = slices.Clone(c.BackendServers)
	for i := range c.BackendServers {
		c.BackendServers[i].SetDefaults()
	}
	slices.SortFunc(c.BackendServers, func(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	c.Policy.SetDefaults()
	c.EvacuatedZones = slices.Compact(slices.Sorted(slices.Values(c.EvacuatedZones)))
	return c
}

// Evacuates reports whether the zone of a place takes no new work.
func (c Config) Evacuates(p Place) bool {
	return slices.ContainsFunc(c.EvacuatedZones, p.InZone)
}

// WithVersion returns a copy with another version number.
func (c Config) WithVersion(v uint64) Config {
	c.Version = v
	return c
}

// Validate returns the invalid fields of a configuration that has its defaults set and
// is sorted. It doesn't check whether the guarantees fit on the workers.
func (c Config) Validate() ProblemList {
	var l ProblemList
	for i, t := range c.Teams {
		l.Under("teams."+t.Name, t.Validate())
		if i > 0 && c.Teams[i-1].Name == t.Name {
			l.Add("teams."+t.Name, "", "is set twice")
		}
	}
	for i, k := range c.Classes {
		l.Under("classes."+k.Name, k.Validate())
		if i > 0 && c.Classes[i-1].Name == k.Name {
			l.Add("classes."+k.Name, "", "is set twice")
		}
	}
	for i, b := range c.BackendServers {
		l.Under("backend-servers."+b.Name, b.Validate())
		if i > 0 && c.BackendServers[i-1].Name == b.Name {
			l.Add("backend-servers."+b.Name, "", "is set twice")
		}
		for j, class := range b.Classes {
			if _, ok := c.Classes.Find(class); !ok {
				l.Add(fmt.Sprintf("backend-servers.%s.classes[%d]", b.Name, j), class, "no such class")
			}
		}
	}
	l.Under("policy", c.Policy.Validate())
	if slices.Contains(c.EvacuatedZones, "") {
		l.Add("evacuated-zones", "", "must not be empty")
	}
	return l
}
