package peer

import "rosemarygap/core/rendezvous"

// Share returns how many of an endpoint's slots the entry self may use when
// the given entries share them: an equal part each, and one of what is left
// over to each of the entries that rank highest for the endpoint. With more
// entries than slots only the highest have one. Together the shares are all
// slots, and no share rises when an entry is added.
func Share(endpoint string, slots int, self string, members []string) int {
	n := len(members)
	if n == 0 {
		return 0
	}
	share, left := slots/n, slots%n
	if left > 0 && rank(endpoint, self, members) < left {
		share++
	}
	return share
}

// rank returns how many members come before self for an endpoint.
func rank(endpoint, self string, members []string) int {
	key := "slots/" + endpoint
	own, before := rendezvous.Score(key, self), 0
	for _, m := range members {
		s := rendezvous.Score(key, m)
		if s > own || s == own && m < self {
			before++
		}
	}
	return before
}
