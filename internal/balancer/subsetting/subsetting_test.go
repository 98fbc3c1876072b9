package subsetting

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Each server has exactly the doors it should, each door a number near the mean, and none has none.
func TestBalance(t *testing.T) {
	for _, c := range []struct{ doors, servers, each, least, most int }{
		{80, 60, 16, 6, 28}, {200, 60, 16, 6, 28}, {20, 200, 16, 8, 32}, {80, 20, 16, 10, 20},
	} {
		using := GatewaysPerEndpoint(c.doors, c.servers, c.each)
		of := make([]int, c.doors)
		for s := range c.servers {
			n := 0
			for d := range c.doors {
				if Uses(fmt.Sprint("s-", s), d, c.doors, using, nil) {
					n++
					of[d]++
				}
			}
			if n != using {
				t.Fatalf("%+v: a server has %d doors, want %d", c, n, using)
			}
		}
		for d, n := range of {
			if n < c.least || n > c.most {
				t.Errorf("%+v: door %d has %d servers", c, d, n)
			}
		}
	}
}

func TestSmallFleetsUseAll(t *testing.T) {
	for _, c := range [][3]int{{2, 100, 16}, {3, 14, 16}, {80, 16, 16}, {0, 5, 16}, {1, 1000, 16}, {5, 5, 0}} {
		using := GatewaysPerEndpoint(c[0], c[1], c[2])
		for d := range max(1, c[0]) {
			if !Uses("s", d, max(1, c[0]), using, nil) {
				t.Errorf("%v: door %d leaves a server out", c, d)
			}
		}
	}
}

// A door more moves few: a server keeps all its doors but one at the most.
func TestFewMovesWhenADoorComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doors := rapid.IntRange(3, 120).Draw(t, "doors")
		using := rapid.IntRange(1, doors).Draw(t, "using")
		name := rapid.String().Draw(t, "name")
		lost, n := 0, 0
		for d := range doors {
			before, after := Uses(name, d, doors, using, nil), Uses(name, d, doors+1, using, nil)
			if before {
				n++
			}
			if before && !after {
				lost++
			}
			if !before && after {
				t.Fatalf("door %d got a server because another door came", d)
			}
		}
		if n != using || lost > 1 {
			t.Fatalf("%d doors of %d; %d lost it", n, using, lost)
		}
	})
}

func TestOddRanks(t *testing.T) {
	if Uses("s", -1, 80, 20, nil) != Uses("s", 79, 80, 20, nil) || Uses("s", 85, 80, 20, nil) != Uses("s", 5,
		80, 20, nil) {
		t.Error("ranks outside the doors are counted round")
	}
}
