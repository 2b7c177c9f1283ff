package admission

// indexedHeap is a binary heap whose elements store their position, so that any element can be moved or removed in
// logarithmic time. container/heap would need one adapter type for each of the four orders used here.
type indexedHeap[T any] struct {
	nodes    []T
	before   func(a, b T) bool
	position func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.nodes) }

func (h *indexedHeap[T]) top() T { return h.nodes[0] }

func (h *indexedHeap[T]) push(n T) {
	h.nodes = append(h.nodes, n)
	*h.position(n) = len(h.nodes) - 1
	h.up(len(h.nodes) - 1)
}

func (h *indexedHeap[T]) remove(n T) {
	i, last := *h.position(n), len(h.nodes)-1
	if i != last {
		h.swap(i, last)
	}
	var none T
	h.nodes[last] = none
	h.nodes = h.nodes[:last]
	if i != last {
		h.fixAt(i)
	}
}

// fix restores the order after the key of n changed.
func (h *indexedHeap[T]) fix(n T) { h.fixAt(*h.position(n)) }

func (h *indexedHeap[T]) fixAt(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	*h.position(h.nodes[i]) = i
	*h.position(h.nodes[j]) = j
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(h.nodes[i], h.nodes[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves an element down to its place and reports whether it moved.
func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.nodes) {
			break
		}
		if right := child + 1; right < len(h.nodes) && h.before(h.nodes[right], h.nodes[child]) {
			child = right
		}
		if !h.before(h.nodes[child], h.nodes[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
