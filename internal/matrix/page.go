package matrix

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// PageFile is the path of the page, relative to the root of the module.
const PageFile = "docs/FAULTS.md"

const pageHead = `# Faults

Written by ` + "`go run ./internal/matrix/page`" + `; a test checks that it is current.

Each row is a step of a request or of a job, each column what goes wrong when that
step is reached. A cell is a test of its own:

    go test -count=1 -run 'TestFaultMatrix/<step>/<fault>' ./internal/matrix

✓ is run, – can't happen, red fails for a known fault. Besides the cells,
` + "`TestFaultPairs`" + ` runs %d pairs of faults drawn from a fixed seed.

`

const pageTail = `
## What a cell checks

- A request that must not run twice ran at most once; one told not run never ran.
- A done answer is the caller's own. Each call ends within its deadline and grace.
- Work that may run again ends done. Accepted jobs end, truthfully.
- No gang runs in part for longer than lease and margin, no two attempts of a job
  run at once, no accelerator runs two tasks. Nothing goes on after its end was told.
- No configuration goes back. It is in force everywhere within 3 s, once nobody is
  out of reach. Of two racing operators one wins at most.
- A leaving agent gets no work later than 3 s after it said so.
- Backend servers never have more requests than slots.

What ran is taken from the stand-ins of workers and backend servers, what was told
from what callers got. docs/design/faults.md says how faults are modelled.

## What other operators reported

For the workflows on the users' platform ([design/platform.md](design/platform.md)):

| report | test | found |
|---|---|---|
| a silent or slow machine's work was started again or given up | TestTasksOfFrozenAgentRunOn, TestTasksOfUnreachableWorkerAreNotMoved, TestLeaseEndsBeforePlannerAssumesItLapsed, TestUnconfirmedHeartbeatEndsNoLifetime, TestLeftWorkerIsOverOnceNothingListens, TestLifetimeIsNotOverBeforeLapsedRunsHaveEnded, TestLeaseIsRenewedAfterReportWithoutLifetime | the first report after a freeze counted as a standstill: mended; a worker that didn't answer one check or call was taken as replaced or gone, a lapse counted before its runs had ended: mended |
| both acted around a hand-over | TestPlannerIsReplacedAmongMany, TestOneStandbyStepsUp, TestOlderPlannerIsRefused, TestHigherEpochFencesWriter, TestTwoProcessesOfOneAgent, TestTwoProcessesOfOneAgentWhilePlannersChange, TestReportOfAnotherAgentEndsNoRuns | a standby replaced the planner that had stepped up while it asked the old one: mended; orders never went out twice, as they carry the epoch; two processes of an agent, or two agents at one address, spoke for one worker: mended |
| a paused process used a permission that had run out | TestWithdrawnKeyIsNotUsedAgain, TestOlderPlannerIsRefused, TestRestartedAgentDoesNotAssumeLeaseLapsed, TestStartIsNotRepeatedInNextLifetime, TestOutdatedConfirmationEndsNoLifetime, TestRunsEndOnceWhenProcessesPause | an entry that was paused, or without the store, took withdrawn keys; an agent repeated a start without checking again that it may: mended; an answer that was old when it was used ended a lifetime: mended |
| after a restart a server that had left, or a withdrawn key, was in use | TestTasksOfForgottenLifetimeRunAgain, TestHeartbeatsOfEarlierLifetimeAreIgnored, TestWorkerWhoseClockJumpedBackIsUsed, TestConfigurationVersionNeverDecreases | a worker whose clock had jumped back was never used again, and its tasks stayed running for good: mended |
| work ran again, or was said not to have run, after a lost answer | TestWriter, TestJobWithUndecidedWriteIsNotRefused, TestJobAcceptedByPeerIsNotRefused, TestLateStartReachesRestartedWorker, TestEndOfLateStartInRestartedWorkerCounts, TestJobsSurviveFaultsOnUnreliableNetwork, TestRefusedStartThatTookEffectRunsOnce, TestRepeatedOrderHasOneResult, TestCallBehindOpenWriteIsNotRefused, TestJobOfRestartedEntryIsNotRefused, TestJobOfEntryKilledAfterItLeftIsNotRefused, TestUnclaimedNumberReused | done work ran again: a late start had ended in its worker's next lifetime; ends were acknowledged that the store had rejected; absence was taken from an agent that can't know: mended; a refusal of a start counted as proof, a job was refused on what peers had known a second before: mended |
| one message or error took a process down | TestHarmfulJobIsRefused, TestRejectedAppendStopsNoOthers, the fuzz targets of platform and clusterstate | a job due after the year 9999 ended the entry; one whose record is too large stopped an entry's writes: mended |
| an odd entry among those of the executors | TestOddHeartbeatsNameNoWorker, TestHeartbeatOfAnotherWriterEndsNoLifetime, TestOddRecordsChangeNothing, TestFirstHeartbeatAfterRestartOfOtherLifetimeEndsNoRuns, TestWorkerStateWithoutStartConfirmsNoLifetime, TestOddPlannerRecordsChangeNothing | a heartbeat with a later start ended a worker's lifetime, one with a start in the far future hid the worker; a progress record with a step too many ended each planner in turn: mended; the first heartbeat after a restart was not checked, an odd planner record kept all planners from stepping up: mended |
`

// PairCount is the number of pairs of faults that TestFaultPairs runs.
const PairCount = 210

// Page returns the page: the matrix in Markdown, with the cells that can't happen and the
// known red tests.
func Page(red KnownRedList) string {
	var b strings.Builder
	fmt.Fprintf(&b, pageHead, PairCount)
	b.WriteString("| step |")
	for _, f := range Faults() {
		fmt.Fprintf(&b, " %s |", f)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(Faults())) + "\n")
	for i, c := range Cells() {
		if i%len(Faults()) == 0 {
			fmt.Fprintf(&b, "| %s |", c.Step)
		}
		fmt.Fprintf(&b, " %s |", c.symbol(red))
		if (i+1)%len(Faults()) == 0 {
			b.WriteString("\n")
		}
	}
	fmt.Fprintf(&b, "\n%d of %d cells are run.\n", Cells().RunCount(), len(Cells()))
	b.WriteString(reasonSection())
	b.WriteString(knownRedSection(red))
	b.WriteString(pageTail)
	return b.String()
}

// TestName returns the full name of the cell's test.
func (c Cell) TestName() string { return "TestFaultMatrix/" + c.name() }

// name returns the name of the cell's subtest, without spaces.
func (c Cell) name() string {
	return strings.ReplaceAll(string(c.Step)+"/"+string(c.Fault), " ", "_")
}

// symbol returns the text of the cell on the page.
func (c Cell) symbol(red KnownRedList) string {
	if c.Reason != "" {
		return "–"
	}
	if _, ok := red.Find(c.TestName()); ok {
		return "red"
	}
	return "✓"
}

// reasonSection lists the cells that can't happen, with the reasons.
func reasonSection() string {
	var b strings.Builder
	for _, c := range Cells() {
		if c.Reason != "" {
			fmt.Fprintf(&b, "- %s, %s: %s\n", c.Step, c.Fault, c.Reason)
		}
	}
	if b.Len() == 0 {
		return ""
	}
	return "\n## Cells that can't happen\n\n" + b.String()
}

// knownRedSection lists the known red tests.
func knownRedSection(red KnownRedList) string {
	if len(red) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString("\n## Known red\n\n")
	for _, r := range red {
		fmt.Fprintf(&b, "- `%s`: %s\n", r.Test, r.Description)
	}
	return b.String()
}

// WritePage writes the page to PageFile in the module that contains the current directory.
func WritePage() error {
	root, err := ModuleRoot()
	if err != nil {
		return err
	}
	red, err := ReadKnownRed()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(root, PageFile), []byte(Page(red)), 0o600); err != nil {
		return fmt.Errorf("matrix.WritePage: %w", err)
	}
	return nil
}
