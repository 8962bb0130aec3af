// Package rendezvous ranks members for a key by highest random weight, so that
// all who know the same members prefer the same one without asking. It owns
// no state.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score ranks a member for a key; the highest score is preferred.
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
