package measure

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"text/tabwriter"
)

func show(ps []policy, run func(p policy, t *Table), columns []string) {
	t := &Table{Columns: columns}
	for _, p := range ps {
		run(p, t)
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range append([][]string{append([]string{"policy"}, columns...)}, t.Rows...) {
		fmt.Fprintln(out, strings.Join(r, "\t"))
	}
	out.Flush()
}

func TestZZ(t *testing.T) {
	v := virtanen
	{
		st := runLoad(v, router, 1, v.sharesTraffic(true), nil)
		for r, k := range st.ranks {
			fmt.Println(r, k.asked, k.served, k.refused, k.late)
		}
		var c [3][3]int
		_ = c
		for i, o := range st.orgs {
			fmt.Println(i, o.asked, o.served, o.tokens)
		}
	}
	ps := []policy{router, router.with("unfair", func(p *policy) { p.fair = false })}
	for _, seed := range []uint64{1, 2} {
		show(ps, func(p policy, t *Table) {
			addShares(t, p.name, runLoad(v, p, seed, v.sharesTraffic(true), nil), runLoad(v, p, seed, v.sharesTraffic(false), nil))
		}, sharesColumns)
	}
	bg := append(v.normalDay(obeys), v.flood(background, 5, v.everyone(), leaves)...)
	ur := append(v.normalDay(obeys), v.flood(urgent, 3, v.everyone(), leaves)...)
	for _, src := range [][]source{bg, ur} {
		show(ps, func(p policy, t *Table) { addLoad(t, p.name, runLoad(v, p, 1, src, nil)) }, loadColumns)
	}
}
