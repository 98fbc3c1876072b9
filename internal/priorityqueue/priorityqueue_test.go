package priorityqueue

import (
	"testing"

	"pgregory.net/rapid"
)

// TestQueueAgainstAPlainList verifies, for random operations, that the first item is the least one, and that each item
// reports whether it is in the queue.
func TestQueueAgainstAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(func(a, b *int) bool { return *a < *b })
		in := map[*Item[*int]]bool{}
		var all []*Item[*int]
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			v := rapid.IntRange(0, 20).Draw(t, "value")
			var one *Item[*int]
			if len(all) > 0 {
				one = all[rapid.IntRange(0, len(all)-1).Draw(t, "item")]
			}
			switch what := rapid.IntRange(0, 4).Draw(t, "what"); {
			case one == nil || what == 0:
				one = q.Push(&v)
				all, in[one] = append(all, one), true
			case what == 1: // no effect if it is already in
				q.Put(one)
				in[one] = true
			case what == 2:
				q.Remove(one)
				delete(in, one)
			case what == 3:
				*one.Value = v
				q.Moved(one)
			case q.Len() > 0:
				first := q.Pop()
				for o := range in {
					if *o.Value < *first.Value {
						t.Fatalf("%d came before %d", *first.Value, *o.Value)
					}
				}
				if !in[first] || first.In() {
					t.Fatal("the item was not in the queue, or still is after Pop")
				}
				delete(in, first)
			}
			if q.Len() != len(in) || (q.First() == nil) != (len(in) == 0) {
				t.Fatalf("%d items, want %d", q.Len(), len(in))
			}
			for _, o := range all {
				if o.In() != in[o] {
					t.Fatalf("wrong result of In: %v", o.In())
				}
				if in[o] && *o.Value < *q.First().Value {
					t.Fatalf("%d is first, but %d is in the queue", *q.First().Value, *o.Value)
				}
			}
		}
	})
}
