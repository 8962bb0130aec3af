// Package rendezvous implements rendezvous hashing (highest random weight): all
// processes that know the same members prefer the same member for a key without
// communication. The package holds no state.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns the score of a member for a key. The member with the highest
// score is preferred.
func Score(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Preferred returns the member with the highest score for key, or "" if
// there are no members.
func Preferred(key string, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		if s := Score(key, m); best == "" || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}
