package inspection

import (
	"strings"

	"sniperill.example/sniperill/pkg/shop"
)

// Change is a difference between two configurations, and what it does.
type Change struct {
	shop.Change
	Effect string `json:"effect,omitempty"`
}

// Changes returns what differs between two configurations, sorted by field.
func Changes(before, after shop.Config) []Change {
	changes := shop.Diff(before, after)
	whole := make(map[string]bool) // Objects that are added or removed.
	for _, c := range changes {
		if object, field := splitField(c.Field); field == "name" {
			whole[object] = true
		}
	}
	out := make([]Change, 0, len(changes))
	for _, c := range changes {
		object, field := splitField(c.Field)
		kind, _, _ := strings.Cut(object, ".")
		switch {
		case !whole[object]:
			out = append(out, Change{c, effect(c, kind, field)})
		case field == "name":
			out = append(out, Change{c, presenceEffect(kind, c.After != "")})
		default: // The effect stands beside the name.
			out = append(out, Change{Change: c})
		}
	}
	return out
}

// splitField splits the path of a field of a named object, such as "teams.quotes.quota", after the object. Both parts
// are empty for other fields.
func splitField(path string) (object, field string) {
	parts := strings.SplitN(path, ".", 3)
	if len(parts) < 3 {
		return "", ""
	}
	return parts[0] + "." + parts[1], parts[2]
}

// effect tells what the change of one field of an object does, or "" if the field tells enough.
func effect(c shop.Change, kind, field string) string {
	top, _, _ := strings.Cut(field, ".")
	switch kind + "." + top {
	case "teams.guarantees":
		return "other teams may borrow more or less"
	case "teams.quota":
		if c.After != "" { // Without one, there is no limit.
			return "also for jobs that wait: those above it end as not run"
		}
	case "classes.shape", "classes.run-time":
		return "for new jobs that declare none"
	case "classes.deadline":
		return "for new requests that have none"
	case "classes.preemptible", "classes.urgent", "classes.grace":
		return "also for jobs that wait or run"
	case "backend-servers.slots", "backend-servers.connections":
		return "requests in progress go on, and count"
	}
	return ""
}

// presenceEffect tells what happens if an object is added or removed.
func presenceEffect(kind string, added bool) string {
	switch {
	case kind == "backend-servers" && !added:
		return "its requests in progress go on; new ones run on other workers"
	case kind == "backend-servers":
		return "requests of its classes may run there"
	case added:
		return "its work is accepted"
	case kind == "teams":
		return "its new work is refused; its waiting jobs end as not run"
	default:
		return "new work of the class is refused; its waiting jobs end as not run"
	}
}
