package command

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the format of the plot, SVG

	"cornellb/core/state/capacity"
)

const (
	defaultSlopes = "docs/capacity/slopes.yaml"
	plotWidth     = 20 * vg.Centimeter
	plotHeight    = 12 * vg.Centimeter
)

type capacityOptions struct {
	slopes, page, plot string
	markdown           bool
	fleet              capacity.Fleet
}

func newCapacityCommand() *cobra.Command {
	o := &capacityOptions{fleet: capacity.TwoYearForecast()}
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Compute what a fleet costs from measured slopes",
		Long: `Compute state, messages, processor time and memory of each role, and its worst moments, for a fleet of a given size.

The slopes come from "make capacity". The default sizes are those of two years from now.`,
		Example: "  cornellb capacity --markdown --balancers 1000 --endpoints 11000",
		Args:    asInputError(cobra.NoArgs),
		RunE:    func(c *cobra.Command, _ []string) error { return o.run(c) },
	}
	f := c.Flags()
	f.StringVar(&o.slopes, "slopes", defaultSlopes, "file of slopes")
	f.StringVar(&o.page, "page", "", "page whose tables are replaced")
	f.StringVar(&o.plot, "plot", "", "file of the plot, .svg")
	f.BoolVar(&o.markdown, "markdown", false, "print the tables in Markdown")
	for name, size := range map[string]struct {
		value *float64
		usage string
	}{
		"balancers":        {&o.fleet.Balancers, "balancers"},
		"endpoints":        {&o.fleet.Endpoints, "endpoints"},
		"addresses":        {&o.fleet.Addresses, "service addresses"},
		"flows":            {&o.fleet.Flows, "open flows"},
		"new-flows":        {&o.fleet.NewFlows, "new flows a second"},
		"regions":          {&o.fleet.Regions, "regions"},
		"failure-domains":  {&o.fleet.Domains, "failure domains"},
		"changes":          {&o.fleet.Changes, "changes of the tables a day"},
		"failed":           {&o.fleet.Failed, "hosts that fail in a day"},
		"restarted":        {&o.fleet.Restarted, "hosts restarted or replaced in a day"},
		"packets-per-flow": {&o.fleet.PacketsPerFlow, "caller packets over the life of a flow"},
	} {
		f.Float64Var(size.value, name, *size.value, size.usage)
	}
	return c
}

func (o *capacityOptions) run(c *cobra.Command) error {
	if err := o.fleet.Check(); err != nil {
		return &InputError{Message: err.Error()}
	}
	data, err := os.ReadFile(o.slopes)
	if err != nil {
		return errors.Wrap(err, "read slopes")
	}
	s, err := capacity.Load(data)
	if err != nil {
		return &InputError{Message: err.Error()}
	}
	if o.markdown || o.page == "" && o.plot == "" {
		fmt.Fprint(c.OutOrStdout(), s.Markdown(o.fleet))
	}
	if o.page != "" {
		if err := updatePage(o.page, s, o.fleet); err != nil {
			return err
		}
	}
	if o.plot != "" {
		return errors.Wrap(plotCurves(s.Curves(o.fleet), o.plot), "plot")
	}
	return nil
}

func updatePage(file string, s *capacity.Slopes, f capacity.Fleet) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	text, err := s.Update(string(page), f)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, []byte(text), 0o644), "write page")
}

// plotCurves draws the used share of each budget over the number of balancers, both on logarithmic axes.
func plotCurves(curves []capacity.Curve, file string) error {
	p := plot.New()
	p.Title.Text = "Share of the budget of a node by size of the fleet"
	p.X.Label.Text, p.Y.Label.Text = "balancers", "share of the budget"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	var lines []any
	for _, c := range curves {
		xy := make(plotter.XYs, len(c.Balancers))
		for i := range xy {
			xy[i] = plotter.XY{X: c.Balancers[i], Y: c.Shares[i]}
		}
		lines = append(lines, c.Name, xy)
	}
	last := curves[0].Balancers
	budget := plotter.XYs{{X: last[0], Y: 1}, {X: last[len(last)-1], Y: 1}}
	lines = append(lines, "budget", budget)
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
