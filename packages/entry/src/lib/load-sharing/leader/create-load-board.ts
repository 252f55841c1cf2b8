import type {LoadRow} from '../wire/load-row.js';
import type {LoadBoard} from './load-board.js';

type Report = {readonly rows: readonly LoadRow[]; readonly at: number; readonly until: number};

/**
Creates a board without reports.

@param now Monotonic ms.
*/
export const createLoadBoard = (now: () => number): LoadBoard => {
	const reports = new Map<string, Report>();
	const totals = new Map<number, LoadRow>();

	const add = ({endpoint, open, promptUnits}: LoadRow, sign: 1 | -1): void => {
		const total = totals.get(endpoint);
		const sum = {endpoint, open: (total?.open ?? 0) + (sign * open), promptUnits: (total?.promptUnits ?? 0) + (sign * promptUnits)};
		if (sum.open === 0 && sum.promptUnits === 0) {
			totals.delete(endpoint);
		} else {
			totals.set(endpoint, sum);
		}
	};

	const remove = (source: string): void => {
		for (const row of reports.get(source)?.rows ?? []) {
			add(row, -1);
		}

		reports.delete(source);
	};

	return {
		report(source, rows, {at, until}) {
			remove(source);
			reports.set(source, {rows, at, until});
			for (const row of rows) {
				add(row, 1);
			}
		},
		expire() {
			for (const [source, {until}] of reports) {
				if (until <= now()) {
					remove(source);
				}
			}
		},
		totals: () => totals,
		sources: () => reports.size,
		oldestAt: () => Math.min(...[...reports.values()].map(({at}) => at)),
	};
};
