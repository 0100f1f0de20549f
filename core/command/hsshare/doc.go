// Package hsshare divides the capacity that nobody is guaranteed fairly between workspaces, and within a workspace between the
// zones that its callers come from.
//
// The scheme is dominant-resource fairness: the share of a workspace is the largest part that its runs use of any resource, and
// the waiting request of the workspace with the smallest share goes first. Within a workspace the same holds for its zones, and
// within a zone the order of the requests is that of the caller, for example by deadline. All workspaces weigh the same.
//
// The shares follow from what runs alone: a workspace that was alone on the fleet owes nothing to the next one, a new leader
// computes the same shares as the one before, and neither a wrong run time nor a caller who gives up leaves anything behind. The
// only history is the last start of each workspace, which decides among equal shares.
//
// A Ledger isn't safe for concurrent use. It holds an entry for each workspace and zone with runs or requests.
//
// # Usage
//
//	l := hsshare.New(capacity)
//	l.Use(hsshare.Origin{Workspace: "w1", Zone: "a"}, resources, tasks) // for what runs
//	order := l.Order(requests)
package hsshare
