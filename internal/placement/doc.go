// Package placement decides which accelerators, cores and memory a gang gets.
//
// A Fleet is the state of the workers as seen by one plan. It distinguishes three
// kinds of room for a team: free resources that the team owns or nobody owns, free
// resources that another team owns, which only preemptible work may borrow, and
// resources that become free when preemptible work is evicted.
package placement
