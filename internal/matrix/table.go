package matrix

// Step is a step of a request or a job. A fault is injected when it is reached.
type Step string

// Steps, in the order of the page.
const (
	Accept      Step = "accept"
	Record      Step = "record"
	Claim       Step = "claim"
	Hold        Step = "hold"
	Prepare     Step = "prepare"
	Release     Step = "release"
	Run         Step = "run"
	Checkpoint  Step = "checkpoint"
	End         Step = "end"
	Answer      Step = "answer"
	Acknowledge Step = "acknowledge"
	Apply       Step = "apply"
	Leave       Step = "leave"
)

// Fault is what goes wrong when a step is reached.
type Fault string

// Faults, in the order of the page. None is a run without a fault, which has the strictest checks.
const (
	None             Fault = "none"
	EntryDies        Fault = "entry dies"
	AgentDies        Fault = "agent dies"
	WorkerDies       Fault = "worker dies"
	BackendDies      Fault = "backend server dies"
	LogDown          Fault = "log down"
	LogSlow          Fault = "log slow"
	LogAnswerLost    Fault = "log answer lost"
	LeaseLapses      Fault = "lease lapses in a pause"
	ConnectionSilent Fault = "connection silent"
	OperatorsRace    Fault = "operators race"
	Cancellation     Fault = "cancellation"
	WorkerFailsAll   Fault = "fails-everything worker"
	ZoneLost         Fault = "zone lost"
	RegionsParted    Fault = "regions parted"
	OverloadBurst    Fault = "overload burst"
)

// StepList is a list of steps in the order of the page.
type StepList []Step

// FaultList is a list of faults in the order of the page.
type FaultList []Fault

// Steps returns the rows of the matrix.
func Steps() StepList {
	return StepList{
		Accept, Record, Claim, Hold, Prepare, Release, Run, Checkpoint, End, Answer, Acknowledge, Apply, Leave,
	}
}

// Faults returns the columns of the matrix.
func Faults() FaultList {
	return FaultList{
		None, EntryDies, AgentDies, WorkerDies, BackendDies, LogDown, LogSlow, LogAnswerLost, LeaseLapses,
		ConnectionSilent, OperatorsRace, Cancellation, WorkerFailsAll, ZoneLost, RegionsParted, OverloadBurst,
	}
}

// Cell is one test of the matrix: a fault at a step.
type Cell struct {
	Step  Step
	Fault Fault
	// Reason is why the fault can't happen at the step; empty when the cell is run.
	Reason string
}

// CellList holds the cells of the matrix, row by row.
type CellList []Cell

// Cells returns all cells of the matrix.
func Cells() CellList {
	var out CellList
	for _, s := range Steps() {
		for _, f := range Faults() {
			out = append(out, Cell{Step: s, Fault: f, Reason: reason(s, f)})
		}
	}
	return out
}

// reason returns why a fault can't happen at a step, or "". At present every cell is run.
func reason(Step, Fault) string { return "" }

// RunCount returns the number of cells that are run.
func (l CellList) RunCount() int {
	n := 0
	for _, c := range l {
		if c.Reason == "" {
			n++
		}
	}
	return n
}
