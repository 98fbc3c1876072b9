// Package priorityqueue implements a binary heap whose items can be reordered and removed: it is container/heap with
// the index of each item.
package priorityqueue

import "container/heap"

// Item is a value in a Queue.
type Item[T any] struct {
	// Value is the value by which the queue is ordered. Call Moved after changing it.
	Value T
	// position is the item's index in the heap plus one, or 0 if it is in no queue.
	position int
}

// In reports whether the item is in a queue. A nil item is in none.
func (i *Item[T]) In() bool { return i != nil && i.position > 0 }

// Queue is a priority queue. Items that compare equal come in any order. A Queue must be made by New and is not safe
// for concurrent use.
type Queue[T any] struct{ heap itemHeap[T] }

// New returns an empty queue. less reports whether a comes before b.
func New[T any](less func(a, b T) bool) *Queue[T] { return &Queue[T]{itemHeap[T]{less: less}} }

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.heap.items) }

// Push adds a value and returns its item.
func (q *Queue[T]) Push(value T) *Item[T] {
	item := &Item[T]{Value: value}
	heap.Push(&q.heap, item)
	return item
}

// Put adds an item. An item that is already in the queue is not changed.
func (q *Queue[T]) Put(item *Item[T]) {
	if item.position == 0 {
		heap.Push(&q.heap, item)
	}
}

// First returns the first item, or nil if the queue is empty.
func (q *Queue[T]) First() *Item[T] {
	if len(q.heap.items) == 0 {
		return nil
	}
	return q.heap.items[0]
}

// Pop removes the first item and returns it. The queue must not be empty.
func (q *Queue[T]) Pop() *Item[T] { return heap.Pop(&q.heap).(*Item[T]) }

// Remove removes an item. One that is in no queue, or nil, is ignored.
func (q *Queue[T]) Remove(item *Item[T]) {
	if item.In() {
		heap.Remove(&q.heap, item.position-1)
	}
}

// Moved restores the order after the value of an item has changed.
func (q *Queue[T]) Moved(item *Item[T]) {
	if item.In() {
		heap.Fix(&q.heap, item.position-1)
	}
}

// itemHeap implements heap.Interface.
type itemHeap[T any] struct {
	less  func(a, b T) bool
	items []*Item[T]
}

func (h *itemHeap[T]) Len() int           { return len(h.items) }
func (h *itemHeap[T]) Less(i, j int) bool { return h.less(h.items[i].Value, h.items[j].Value) }

func (h *itemHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].position = i + 1
	h.items[j].position = j + 1
}

func (h *itemHeap[T]) Push(element any) {
	item := element.(*Item[T])
	item.position = len(h.items) + 1
	h.items = append(h.items, item)
}

func (h *itemHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	item.position = 0
	return item
}
