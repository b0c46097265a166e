package admission

// orgHeap orders the organisations with waiting requests by their usage per unit
// of weight, the lowest first.
type orgHeap []*orgQueue

func (oh orgHeap) Len() int           { return len(oh) }
func (oh orgHeap) Less(i, j int) bool { return oh[i].score() < oh[j].score() }
func (oh orgHeap) Swap(i, j int) {
	oh[i], oh[j] = oh[j], oh[i]
	oh[i].index, oh[j].index = i, j
}

// Push implements heap.Interface.
func (oh *orgHeap) Push(va any) {
	or := va.(*orgQueue)
	or.index = len(*oh)
	*oh = append(*oh, or)
}

// Pop implements heap.Interface.
func (oh *orgHeap) Pop() any {
	old := *oh
	last := old[len(old)-1]
	last.index = -1
	*oh = old[:len(old)-1]
	return last
}
