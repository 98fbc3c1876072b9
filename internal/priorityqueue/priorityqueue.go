// Package priorityqueue is a priority queue whose items can be moved and taken out: container/heap with the places kept.
package priorityqueue

import "container/heap"

// Item is one thing in a Queue.
type Item[T any] struct {
	Value T
	spot  int // from 1; 0: in no queue
}

// In says whether the item is in a queue.
func (i *Item[T]) In() bool { return i != nil && i.spot > 0 }

// Queue gives its items in order, those that compare alike in any. Make it with New. Not for use by several goroutines.
type Queue[T any] struct{ h inner[T] }

// New makes an empty queue. less says whether a goes before b.
func New[T any](less func(a, b T) bool) *Queue[T] { return &Queue[T]{inner[T]{less: less}} }

// Len is the number of items.
func (q *Queue[T]) Len() int { return len(q.h.all) }

// Push puts a value in.
func (q *Queue[T]) Push(v T) *Item[T] {
	i := &Item[T]{Value: v}
	heap.Push(&q.h, i)
	return i
}

// Put puts an item in that is in no queue.
func (q *Queue[T]) Put(i *Item[T]) {
	if i.spot == 0 {
		heap.Push(&q.h, i)
	}
}

// First is the first item; nil: there is none.
func (q *Queue[T]) First() *Item[T] {
	if len(q.h.all) == 0 {
		return nil
	}
	return q.h.all[0]
}

// Pop takes the first item out.
func (q *Queue[T]) Pop() *Item[T] { return heap.Pop(&q.h).(*Item[T]) }

// Remove takes an item out; one that is in no queue, or nil, is passed over.
func (q *Queue[T]) Remove(i *Item[T]) {
	if i.In() {
		heap.Remove(&q.h, i.spot-1)
	}
}

// Moved finds the place of an item whose value has changed.
func (q *Queue[T]) Moved(i *Item[T]) {
	if i.In() {
		heap.Fix(&q.h, i.spot-1)
	}
}

type inner[T any] struct {
	less func(a, b T) bool
	all  []*Item[T]
}

func (h *inner[T]) Len() int           { return len(h.all) }
func (h *inner[T]) Less(i, j int) bool { return h.less(h.all[i].Value, h.all[j].Value) }
func (h *inner[T]) Swap(i, j int) {
	h.all[i], h.all[j] = h.all[j], h.all[i]
	h.all[i].spot, h.all[j].spot = i+1, j+1
}
func (h *inner[T]) Push(e any) {
	i := e.(*Item[T])
	i.spot = len(h.all) + 1
	h.all = append(h.all, i)
}
func (h *inner[T]) Pop() any {
	n := len(h.all) - 1
	i := h.all[n]
	h.all[n] = nil
	h.all = h.all[:n]
	i.spot = 0
	return i
}
