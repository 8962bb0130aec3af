package peer

import "rosemarygap/core/rendezvous"

// Share returns the number of an endpoint's slots that the entry self may use when
// the entries in members share them. Each entry gets an equal part, and the
// entries with the highest rank for the endpoint get one slot each of the
// remainder. With more entries than slots, only the highest-ranked entries get a
// slot. The shares add up to all slots, and adding an entry increases no share.
func Share(endpoint string, slots int, self string, members []string) int {
	n := len(members)
	if n == 0 {
		return 0
	}
	share, remainder := slots/n, slots%n
	if remainder > 0 && rank(endpoint, self, members) < remainder {
		share++
	}
	return share
}

// rank returns the number of members that rank higher than self for an endpoint.
func rank(endpoint, self string, members []string) int {
	key := "slots/" + endpoint
	own, higher := rendezvous.Score(key, self), 0
	for _, m := range members {
		s := rendezvous.Score(key, m)
		if s > own || s == own && m < self {
			higher++
		}
	}
	return higher
}
