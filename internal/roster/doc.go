// Package roster tracks the agents and the other entries that an entry knows, and
// detects failed ones.
//
// There is no central list. Agents announce themselves by heartbeats. Entries
// exchange digests of what they heard, then the states that the other entry
// lacks. A higher incarnation of an agent replaces a lower one, and within an
// incarnation a higher sequence replaces a lower one.
//
// An agent that is silent becomes suspect. It is declared dead only after a probe
// on a new connection failed. When many agents are silent at the same time,
// another entry of the agent's region must have found it silent too.
package roster
