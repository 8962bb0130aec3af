package worker

// freeWorker is a worker with its room: the capacity that is neither reserved nor
// used by tasks beyond what they reserve.
type freeWorker struct {
	worker *workerRow
	room   Resources
}

func (f *freeWorker) candidate() Candidate {
	w := f.worker
	return Candidate{Worker: w.id, Zone: w.zone, Rack: w.rack, Capacity: w.capacity, Room: f.room}
}

// roomIndex finds workers with enough room. It is a binary tree over the workers in
// order of their ids. Each node contains, for each dimension, the largest room below
// it, so that a search skips subtrees without enough room.
type roomIndex struct {
	leaves []freeWorker
	// width is the number of leaves rounded up to a power of two.
	width int
	nodes []Resources
}

// noRoom is less than any requirement.
var noRoom = Resources{-1, -1, -1, -1}

func newRoomIndex(free []freeWorker) *roomIndex {
	x := &roomIndex{leaves: free, width: 1}
	for x.width < len(free) {
		x.width *= 2
	}
	x.nodes = make([]Resources, 2*x.width)
	for i := range x.width {
		x.nodes[x.width+i] = noRoom
		if i < len(free) {
			x.nodes[x.width+i] = free[i].room
		}
	}
	for n := x.width - 1; n > 0; n-- {
		x.nodes[n] = x.nodes[2*n].Max(x.nodes[2*n+1])
	}
	return x
}

// Min returns the smaller value of r and o in each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.Processors, o.Processors), min(r.Memory, o.Memory),
		min(r.Accelerators, o.Accelerators), min(r.Slots, o.Slots)}
}

// reserve reduces the room of a leaf by size.
func (x *roomIndex) reserve(leaf int, size Resources) {
	x.leaves[leaf].room = x.leaves[leaf].room.Minus(size)
	n := x.width + leaf
	x.nodes[n] = x.leaves[leaf].room
	for n /= 2; n > 0; n /= 2 {
		x.nodes[n] = x.nodes[2*n].Max(x.nodes[2*n+1])
	}
}

// each calls yield in order for every leaf with room for need, until yield returns
// false.
func (x *roomIndex) each(need Resources, yield func(leaf int) bool) {
	x.descend(1, need, yield)
}

func (x *roomIndex) descend(n int, need Resources, yield func(int) bool) bool {
	if !need.Fits(x.nodes[n]) {
		return true
	}
	if n >= x.width {
		return yield(n - x.width)
	}
	return x.descend(2*n, need, yield) && x.descend(2*n+1, need, yield)
}
