package workflow

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// ZonedWorker is a worker and its availability zone.
type ZonedWorker struct {
	Worker
	Zone string `json:"zone,omitempty"`
}

// Check returns the problems of the rules: values that aren't valid, entries that can never match, and
// limits that contradict each other. Workers are those of the deployment; without any, what depends on them
// isn't checked.
func (r *Rules) Check(workers []ZonedWorker) shop.FindingList {
	var l shop.FindingList
	if r.Version <= 0 {
		l.Add(shop.Mistake, "version", strconv.FormatInt(r.Version, 10), "must be above zero")
	}
	if r.MaxBody < 0 {
		l.Add(shop.Mistake, "max-body", strconv.FormatInt(r.MaxBody, 10), "must not be negative")
	}
	r.checkServices(&l, workers)
	r.checkQueues(&l)
	r.checkTeams(&l)
	r.checkGuarantees(&l, workers)
	return l
}

func (r *Rules) hasService(name string) bool {
	return slices.ContainsFunc(r.Services, func(s Service) bool { return s.Name == name })
}

func (r *Rules) checkServices(l *shop.FindingList, workers []ZonedWorker) {
	seen := make(map[string]bool)
	for i, s := range r.Services {
		field := fmt.Sprintf("services[%d].name", i)
		switch {
		case s.Name == "":
			l.Add(shop.Mistake, field, "", "must not be empty")
		case seen[s.Name]:
			l.Add(shop.NeverMatches, field, s.Name, "an earlier service has the same name")
		case !slices.ContainsFunc(r.Queues, func(q Queue) bool { return q.Service == s.Name }):
			l.Add(shop.NeverMatches, field, s.Name, "no queue sends work to it")
		case len(workers) > 0 && !slices.ContainsFunc(workers, func(w ZonedWorker) bool { return w.Service == s.Name }):
			l.Add(shop.NeverMatches, field, s.Name, "no worker serves it")
		}
		seen[s.Name] = true
	}
}

func (r *Rules) checkQueues(l *shop.FindingList) {
	names := make(map[string]bool)
	prefixes := make(map[[2]string]string) // The name of the first queue, by host in lower case and prefix.
	for i := range r.Queues {
		q := &r.Queues[i]
		field := fmt.Sprintf("queues[%d]", i)
		if q.Name != "" {
			field = fmt.Sprintf("queues.%s", q.Name)
		}
		q.checkValues(l, field)
		if names[q.Name] {
			l.Add(shop.Mistake, field+".name", q.Name, "an earlier queue has the same name")
		}
		names[q.Name] = true
		if !r.hasService(q.Service) {
			l.Add(shop.NeverMatches, field+".service", q.Service, "the configuration has no such service")
		}
		at := [2]string{strings.ToLower(q.Host), q.Prefix}
		if first, ok := prefixes[at]; ok {
			l.Add(shop.NeverMatches, field+".prefix", q.Prefix, "queue %q takes all calls of host %q with this prefix", first, q.Host)
		} else {
			prefixes[at] = q.Name
		}
		if !q.Public && !r.anyKey() {
			l.Add(shop.NeverMatches, field+".public", "false", "no team has a key to call it with")
		}
		if err := q.CanServe(); err != nil {
			l.Add(shop.NeverMatches, field+".advised", "true", "all its jobs are refused: %v", err)
		}
	}
}

// anyKey reports whether there is a key that authenticates a team.
func (r *Rules) anyKey() bool {
	return slices.ContainsFunc(r.Teams, func(t Team) bool {
		return slices.ContainsFunc(t.Keys, func(key string) bool { return key != "" })
	})
}

// checkValues checks a queue by itself.
func (q *Queue) checkValues(l *shop.FindingList, field string) {
	if q.Name == "" {
		l.Add(shop.Mistake, field+".name", "", "must not be empty")
	}
	if q.Host == "" {
		l.Add(shop.NeverMatches, field+".host", "", "no call has an empty host")
	} else if _, port, err := net.SplitHostPort(q.Host); err == nil {
		l.Add(shop.NeverMatches, field+".host", q.Host, "the host of a call is compared without its port: leave out %q", ":"+port)
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		l.Add(shop.NeverMatches, field+".prefix", q.Prefix, `no path begins with it: must begin with "/"`)
	} else if !strings.HasSuffix(q.Prefix, "/") {
		l.Add(shop.Mistake, field+".prefix", q.Prefix, `must end in "/": a job's id follows`)
	}
	for _, n := range []struct {
		name  string
		value int
	}{{"priority", q.Priority}, {"max-attempts", q.MaxAttempts}} {
		if n.value < 0 {
			l.Add(shop.Mistake, field+"."+n.name, strconv.Itoa(n.value), "must not be negative")
		}
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"target", q.Target}, {"timeout", q.Timeout}} {
		if d.value < 0 {
			l.Add(shop.Mistake, field+"."+d.name, d.value.String(), "must not be negative")
		}
	}
	switch {
	case q.Stretch < 0:
		l.Add(shop.Mistake, field+".stretch", formatFloat(q.Stretch), "must not be negative")
	case q.Stretch == 0 && q.Target <= 0:
		l.Add(shop.Contradiction, field+".target", q.Target.String(), "with a stretch of 0 the objective is over when a job is submitted")
	case q.Stretch > 0 && q.Stretch < 1:
		l.Add(shop.Contradiction, field+".stretch", formatFloat(q.Stretch), "a job that takes longer than %v can't meet its objective even if it starts at once",
			time.Duration(float64(q.Target)/(1-q.Stretch)).Round(time.Millisecond))
	case q.Stretch == 1 && q.Target < minCallTimeout:
		l.Add(shop.Contradiction, field+".target", q.Target.String(), "with a stretch of 1 it is all the time to store a job, which takes %v, and to start it", minCallTimeout)
	}
	if q.Timeout > 0 && q.Timeout < minCallTimeout {
		l.Add(shop.Contradiction, field+".timeout", q.Timeout.String(), "shorter than the %v that storing a job may take", minCallTimeout)
	}
}

// minCallTimeout is the time that it takes to store a job in the slow moments of a sound store.
const minCallTimeout = 100 * time.Millisecond

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func (r *Rules) checkTeams(l *shop.FindingList) {
	seen := make(map[string]bool)
	holders := make(map[string]string) // Team by key.
	for i, t := range r.Teams {
		field := fmt.Sprintf("teams[%d]", i)
		if t.Name != "" {
			field = fmt.Sprintf("teams.%s", t.Name)
		}
		switch {
		case t.Name == "":
			l.Add(shop.Mistake, field+".name", "", "must not be empty")
		case seen[t.Name]:
			l.Add(shop.Mistake, field+".name", t.Name, "an earlier team has the same name")
		}
		seen[t.Name] = true
		if t.Guaranteed < 0 {
			l.Add(shop.Mistake, field+".guaranteed", strconv.Itoa(t.Guaranteed), "must not be negative")
		}
		if len(t.Keys) == 0 && t.Guaranteed > 0 {
			l.Add(shop.Contradiction, field+".guaranteed", strconv.Itoa(t.Guaranteed), "the team has no key to submit jobs with")
		}
		for n, key := range t.Keys {
			at := fmt.Sprintf("%s.keys[%d]", field, n)
			switch holder, ok := holders[key]; {
			case key == "":
				l.Add(shop.NeverMatches, at, "", "an empty key authenticates nobody")
			case ok && holder == t.Name:
				l.Add(shop.NeverMatches, at, maskKey(key), "the team has this key already")
			case ok:
				l.Add(shop.NeverMatches, at, maskKey(key), "team %q holds this key, and gets its calls", holder)
			default:
				holders[key] = t.Name
			}
		}
	}
}

// maskKey returns a key as it may be shown.
func maskKey(key string) string {
	const shown = 4
	return key[:min(shown, len(key)/2)] + "..."
}

// checkGuarantees checks that all guarantees fit on the workers that urgent work can run on.
func (r *Rules) checkGuarantees(l *shop.FindingList, workers []ZonedWorker) {
	total := 0
	for _, t := range r.Teams {
		total += max(0, t.Guaranteed)
	}
	if total == 0 {
		return
	}
	urgent := make(map[string]bool) // Services.
	for _, q := range r.Queues {
		if q.Priority == 0 && q.CanServe() == nil {
			urgent[q.Service] = true
		}
	}
	if len(urgent) == 0 {
		l.Add(shop.Contradiction, "teams", fmt.Sprintf("%d accelerators guaranteed", total), "no queue that takes jobs has priority 0, which guarantees are for")
		return
	}
	if len(workers) == 0 {
		return
	}
	all, byZone := 0, make(map[string]int)
	for _, w := range workers {
		if urgent[w.Service] {
			all += w.Resources.Accelerators
			byZone[w.Zone] += w.Resources.Accelerators
		}
	}
	if total > all {
		l.Add(shop.Contradiction, "teams", fmt.Sprintf("%d accelerators guaranteed", total), "the workers of urgent work have %d", all)
		return
	}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if left := all - byZone[zone]; zone != "" && len(byZone) > 1 && total > left {
			l.Add(shop.Contradiction, "teams", fmt.Sprintf("%d accelerators guaranteed", total),
				"%d are left while zone %q is evacuated", left, zone)
		}
	}
}

// String formats the change as "field: before -> after: effect".
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s: %s", c.Field, strconv.Quote(c.Before), strconv.Quote(c.After), c.Effect)
}

// Change is a difference between two versions of the rules, and what it does.
type Change struct {
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	Effect string `json:"effect"`
}

// Changes returns what differs in the rules from those in force, sorted by field.
func (r *Rules) Changes(inForce *Rules) []Change {
	var out []Change
	add := func(field, before, after, format string, args ...any) {
		if before != after {
			out = append(out, Change{field, before, after, fmt.Sprintf(format, args...)})
		}
	}
	if r.Version <= inForce.Version {
		out = append(out, Change{
			"version", strconv.FormatInt(inForce.Version, 10), strconv.FormatInt(r.Version, 10),
			"it is not above the version in force, so that all of it is ignored",
		})
	}
	add("max-body", strconv.FormatInt(inForce.MaxBody, 10), strconv.FormatInt(r.MaxBody, 10), "the maximum size of a request's body changes")
	old, now := byName(inForce.Queues, func(q Queue) string { return q.Name }), byName(r.Queues, func(q Queue) string { return q.Name })
	for _, name := range sortedKeys(old, now) {
		a, b, field := old[name], now[name], "queues."+name
		_, before := old[name]
		_, after := now[name]
		switch {
		case !before:
			add(field, "", b.Host+b.Prefix, "the queue opens: calls there %s", r.callsAt(b))
			continue
		case !after:
			add(field, a.Host+a.Prefix, "", "the queue closes: calls there %s; its jobs go on under the rules that they were accepted by", r.callsAt(a))
			continue
		}
		add(field+".address", a.Host+a.Prefix, b.Host+b.Prefix, "the queue moves: calls at the address before %s, those at the new one %s", r.callsAt(a), r.callsAt(b))
		add(field+".service", a.Service, b.Service, "what runs goes on where it runs; what waits starts on the workers of the other service")
		add(field+".priority", strconv.Itoa(a.Priority), strconv.Itoa(b.Priority), "also for jobs that were accepted before")
		add(field+".max-attempts", strconv.Itoa(a.MaxAttempts), strconv.Itoa(b.MaxAttempts), "also for jobs that were accepted before")
		add(field+".stretch", formatFloat(a.Stretch), formatFloat(b.Stretch), "the objectives of its jobs change")
		add(field+".target", a.Target.String(), b.Target.String(), "the objectives of its jobs change")
		add(field+".timeout", a.Timeout.String(), b.Timeout.String(), "calls get their answers within another time")
		add(field+".public", strconv.FormatBool(a.Public), strconv.FormatBool(b.Public), "calls need a key, or no longer need one")
		add(field+".advised", strconv.FormatBool(a.ExternallyPlaced), strconv.FormatBool(b.ExternallyPlaced), "jobs whose workers an advice service chooses are refused")
	}
	oldTeams, teams := byName(inForce.Teams, func(t Team) string { return t.Name }), byName(r.Teams, func(t Team) string { return t.Name })
	for _, name := range sortedKeys(oldTeams, teams) {
		a, b, field := oldTeams[name], teams[name], "teams."+name
		_, before := oldTeams[name]
		_, after := teams[name]
		if before && !after {
			add(field, presence(before), "", "the team goes: its jobs go on, without a guarantee")
		} else {
			add(field, presence(before), presence(after), "the team may submit jobs with its keys")
		}
		add(field+".guaranteed", strconv.Itoa(a.Guaranteed), strconv.Itoa(b.Guaranteed), "other teams lend more or less")
		for _, key := range a.Keys {
			if !slices.Contains(b.Keys, key) {
				add(field+".keys", maskKey(key), "", "calls with this key %s", r.callsWith(key))
			}
		}
		for _, key := range b.Keys {
			if !slices.Contains(a.Keys, key) {
				add(field+".keys", "", maskKey(key), "calls with this key %s", r.callsWith(key))
			}
		}
	}
	oldServices, services := byName(inForce.Services, func(s Service) string { return s.Name }), byName(r.Services, func(s Service) string { return s.Name })
	for _, name := range sortedKeys(oldServices, services) {
		_, before := oldServices[name]
		_, after := services[name]
		add("services."+name, presence(before), presence(after), "no effect by itself: workers get the jobs of the queues that name their service")
	}
	return out
}

// callsAt tells what becomes of calls at a queue's address. A queue with a shorter prefix takes none of them, as
// only a job's id may follow its prefix.
func (r *Rules) callsAt(address Queue) string {
	q, ok := r.Match(address.Host, address.Prefix)
	if !ok || q.Prefix != address.Prefix {
		return "get 404"
	}
	return fmt.Sprintf("go to queue %q", q.Name)
}

// callsWith tells what becomes of calls with a key.
func (r *Rules) callsWith(key string) string {
	if t, ok := r.Authenticate(key); ok {
		return fmt.Sprintf("are those of team %q", t.Name)
	}
	return "get 401, except at public queues"
}

func presence(there bool) string {
	if there {
		return "listed"
	}
	return ""
}

// byName indexes a list by its elements' names. Of two with one name, the first counts.
func byName[T any](list []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for _, e := range list {
		if _, ok := out[name(e)]; !ok {
			out[name(e)] = e
		}
	}
	return out
}

func sortedKeys[T any](a, b map[string]T) []string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}
