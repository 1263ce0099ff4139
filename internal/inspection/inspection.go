// Package inspection finds the entries of a valid configuration that can never match, and limits that contradict each
// other. The command line and the entries use it, so that they agree.
package inspection

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"sniperill.example/sniperill/internal/guarantee"
	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

// Config returns the findings about a valid configuration that has its defaults set. Workers are those of the
// deployment; without any, what depends on them isn't checked.
func Config(c shop.Config, workers shop.WorkerList) shop.FindingList {
	in := inspector{Config: c, workers: workers}
	in.checkTeams()
	in.checkClasses()
	in.checkBackendServers()
	if len(workers) > 0 {
		in.checkHardware()
		in.checkGuarantees()
	}
	return in.findings
}

// Shutdown returns the findings about the time that a process has to shut down and that its work may take.
func Shutdown(c shop.Config, timeout shop.Duration) shop.FindingList {
	in := inspector{Config: c}
	for _, class := range c.Classes {
		if in.isServed(class.Name) && class.Deadline > timeout {
			in.findings.Add(shop.Contradiction, "classes."+class.Name+".deadline", class.Deadline.String(),
				"a process that shuts down cuts off requests after %v (shutdown-timeout)", timeout)
		}
		if class.Preemptible && class.Grace > timeout {
			in.findings.Add(shop.Contradiction, "classes."+class.Name+".grace", class.Grace.String(),
				"a process that shuts down waits for %v (shutdown-timeout)", timeout)
		}
	}
	return in.findings
}

type inspector struct {
	shop.Config
	workers  shop.WorkerList
	findings shop.FindingList
}

func (in *inspector) checkTeams() {
	switch {
	case len(in.Teams) == 0 && len(in.Classes) > 0:
		in.findings.Add(shop.NeverMatches, "classes", "", "there is no team whose work could have a class")
	case len(in.Teams) > 0 && len(in.Classes) == 0:
		in.findings.Add(shop.NeverMatches, "teams", "", "there is no class that their work could have")
	}
	for _, t := range in.Teams {
		for i, g := range t.Guarantees {
			field := fmt.Sprintf("teams.%s.guarantees[%d]", t.Name, i)
			switch {
			case g.Shape.Accelerators == 0 && g.Shape.Cores == 0 && g.Shape.Memory == 0:
				in.findings.Add(shop.NeverMatches, field, g.Shape.String(), "guarantees nothing: it has no accelerators, cores or memory")
			case exceedsAnyWorker(g.Shape):
				in.findings.Add(shop.NeverMatches, field, g.Shape.String(), "no worker can have more than %d accelerators", shop.MaxWorkerAccelerators)
			}
		}
	}
}

// exceedsAnyWorker reports whether a shape must run on one worker, and no worker can have as many accelerators.
func exceedsAnyWorker(s shop.Shape) bool {
	return s.Adjacency == shop.SameWorker && s.TotalAccelerators() > shop.MaxWorkerAccelerators
}

func (in *inspector) checkClasses() {
	urgent := slices.ContainsFunc(in.Classes, func(c shop.Class) bool { return c.Urgent })
	for _, c := range in.Classes {
		field := "classes." + c.Name
		if c.Preemptible && urgent && c.Grace >= in.Policy.UrgentStart {
			in.findings.Add(shop.Contradiction, field+".grace", c.Grace.String(),
				"urgent work that preempts it is to start within %v (policy.urgent-start)", in.Policy.UrgentStart)
		}
		if c.Urgent && in.isServed(c.Name) && c.Deadline < in.Policy.UrgentStart {
			in.findings.Add(shop.Contradiction, field+".deadline", c.Deadline.String(),
				"requests may be over before the %v in which urgent work is to start (policy.urgent-start)", in.Policy.UrgentStart)
		}
		if c.Burst != shop.DefaultBurst && c.Burst > c.MaxQueued {
			in.findings.Add(shop.Contradiction, field+".burst", strconv.Itoa(c.Burst),
				"of a burst, no more than %d are taken at once (max-queued)", c.MaxQueued)
		}
		if exceedsAnyWorker(c.Shape) {
			in.findings.Add(shop.NeverMatches, field+".shape", c.Shape.String(),
				"no worker can have more than %d accelerators: jobs that declare no shape are refused", shop.MaxWorkerAccelerators)
		} else if largest, ok := in.largestQuota(); ok && c.Shape.TotalAccelerators() > largest {
			in.findings.Add(shop.Contradiction, field+".shape", c.Shape.String(),
				"no team has a quota above %d accelerators: jobs that declare no shape are refused", largest)
		}
	}
}

// isServed reports whether a backend server runs requests of a class.
func (in *inspector) isServed(class string) bool {
	return slices.ContainsFunc(in.BackendServers, func(b shop.BackendServer) bool { return slices.Contains(b.Classes, class) })
}

// largestQuota returns the largest quota of a team, or false if a team has none.
func (in *inspector) largestQuota() (int, bool) {
	if len(in.Teams) == 0 || slices.ContainsFunc(in.Teams, func(t shop.Team) bool { return t.Quota == 0 }) {
		return 0, false
	}
	return slices.MaxFunc(in.Teams, func(a, b shop.Team) int { return cmp.Compare(a.Quota, b.Quota) }).Quota, true
}

func (in *inspector) checkBackendServers() {
	for _, b := range in.BackendServers {
		for i, class := range b.Classes {
			if slices.Contains(b.Classes[:i], class) {
				in.findings.Add(shop.NeverMatches, fmt.Sprintf("backend-servers.%s.classes[%d]", b.Name, i), class, "is in the list already")
			}
		}
	}
}

// checkHardware checks the entries that name workers or zones, and the shapes that jobs of a class have by default.
func (in *inspector) checkHardware() {
	var idle placement.WorkerList
	names, zones := make(map[string]bool), make(map[string]bool)
	for _, w := range in.workers {
		idle = append(idle, placement.IdleWorker(w))
		names[w.Place.Worker] = true
		zones[w.Place.Zone], zones[zoneOf(w)] = true, true
	}
	fleet := placement.NewFleet(idle, nil, in.Teams)
	for _, c := range in.Classes {
		if !exceedsAnyWorker(c.Shape) && !fleet.FitsWhenEmpty(c.Shape, "") {
			in.findings.Add(shop.NeverMatches, "classes."+c.Name+".shape", c.Shape.String(),
				"fits on no worker or group of workers, even idle: jobs that declare no shape are refused")
		}
	}
	for _, b := range in.BackendServers {
		field := "backend-servers." + b.Name
		if b.Name != "*" && !names[b.Name] {
			in.findings.Add(shop.NeverMatches, field+".name", b.Name, "there is no such worker")
		}
		if b.Name == "*" && in.allWorkersNamed(names) {
			in.findings.Add(shop.NeverMatches, field+".name", b.Name, "every worker has a backend server of its own name, which takes precedence")
		}
	}
	for i, z := range in.EvacuatedZones {
		if !zones[z] {
			in.findings.Add(shop.NeverMatches, fmt.Sprintf("evacuated-zones[%d]", i), z, "no worker is in it")
		}
	}
}

// allWorkersNamed reports whether all of the workers have a backend server under their own name.
func (in *inspector) allWorkersNamed(workers map[string]bool) bool {
	for name := range workers {
		if !slices.ContainsFunc(in.BackendServers, func(b shop.BackendServer) bool { return b.Name == name }) {
			return false
		}
	}
	return true
}

func zoneOf(w shop.Worker) string { return w.Place.Region + "/" + w.Place.Zone }

// checkGuarantees checks that all guarantees fit on the workers together, and on those that are left while a zone is
// evacuated.
func (in *inspector) checkGuarantees() {
	var problems shop.ProblemList
	if errors.As(guarantee.Check(in.Config, in.workers), &problems) {
		in.findings.AddProblems(shop.Contradiction, problems)
		return
	}
	zones := make(map[string]bool)
	for _, w := range in.workers {
		zones[zoneOf(w)] = true
	}
	if len(zones) == 1 {
		return
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		left := slices.DeleteFunc(slices.Clone(in.workers), func(w shop.Worker) bool { return zoneOf(w) == zone })
		if !errors.As(guarantee.Check(in.Config, left), &problems) {
			continue
		}
		for _, p := range problems {
			p.Message = fmt.Sprintf("while zone %q is evacuated, %s", zone, p.Message)
			in.findings.AddProblems(shop.Contradiction, shop.ProblemList{p})
		}
	}
}
