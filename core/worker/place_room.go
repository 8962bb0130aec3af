package worker

// freeWorker is a worker with the room that is left on it.
type freeWorker struct {
	worker *workerRow
	room   Resources
}

func (f *freeWorker) candidate() Candidate {
	w := f.worker
	return Candidate{Worker: w.id, Zone: w.zone, Rack: w.rack, Capacity: w.capacity, Room: f.room}
}

// roomIndex finds workers with room. It is a binary tree over the workers in
// order of their ids; each node holds the largest room below it by dimension,
// so that a search skips whole parts without room.
type roomIndex struct {
	leaves []freeWorker
	// width is the number of leaves, rounded up to a power of two.
	width int
	nodes []Resources
}

// noRoom is less than any need.
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

// least returns the smaller value of each dimension.
func (r Resources) least(o Resources) Resources {
	return Resources{min(r.Processors, o.Processors), min(r.Memory, o.Memory),
		min(r.Accelerators, o.Accelerators), min(r.Slots, o.Slots)}
}

// take reduces the room of a leaf.
func (x *roomIndex) take(leaf int, size Resources) {
	x.leaves[leaf].room = x.leaves[leaf].room.Minus(size)
	n := x.width + leaf
	x.nodes[n] = x.leaves[leaf].room
	for n /= 2; n > 0; n /= 2 {
		x.nodes[n] = x.nodes[2*n].Max(x.nodes[2*n+1])
	}
}

// each calls yield for every leaf with room for need, in order, until it
// returns false.
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
