// Package embedded runs entry nodes and stand-ins of a whole deployment in
// one process, for trying the router out and for demonstrations.
package embedded

import (
	"fmt"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// Deployment is the shape of one user's systems.
type Deployment struct {
	// Name is that of the example folder.
	Name string
	// Region and DataCentres tell where its VMs stand.
	Region      string
	DataCentres []string
	// Pool and Service are the names of the engines' pool and the plain
	// service, with the numbers of their replicas.
	Pool            string
	Engines         int
	Service         string
	ServiceReplicas int
}

// The deployments of the examples folder.
var (
	Virtanen = Deployment{
		Name: "virtanen", Region: "etelainen", DataCentres: []string{"lahti-1", "kouvola-1", "hml-1"},
		Pool: "mallipalvelin", Engines: 9, Service: "kirjauspalvelu", ServiceReplicas: 3,
	}
	Turnoflor = Deployment{
		Name: "turnoflor", Region: "interior", DataCentres: []string{"durazno", "florida", "tacuarembo", "flores"},
		Pool: "cowslip-pool", Engines: 12, Service: "rota-app", ServiceReplicas: 4,
	}
)

// Deployments lists them by name.
var Deployments = map[string]Deployment{Virtanen.Name: Virtanen, Turnoflor.Name: Turnoflor}

// VM returns the list entry of the i-th replica of a pool or service, spread
// evenly over the data centres.
func (d Deployment) VM(pool string, i int, address string) infra.VM {
	return infra.VM{
		ID: fmt.Sprintf("%s-%d", pool, i+1), Address: address, Region: d.Region,
		DataCentre: d.DataCentres[i%len(d.DataCentres)], Role: infra.RoleBackend, Pool: pool,
	}
}

// Targets returns the versions that the deployment's pool serves.
func (d Deployment) Targets(c *config.Config) []config.Target {
	if p := c.Pools[d.Pool]; p != nil {
		return p.Targets
	}
	return nil
}

// Qualities returns the true quality of each version, as configured.
func Qualities(c *config.Config) map[config.Target]float64 {
	out := map[config.Target]float64{}
	for model, m := range c.Models {
		for version, v := range m.Versions {
			out[config.Target{Model: model, Version: version}] = v.Quality
		}
	}
	return out
}
