import type {LoadRow} from './load-row.js';

/** Writes loads as a flat list: hash, open requests and prompt units of each endpoint. `readTotals` reads it. */
export const writeRows = (rows: Iterable<LoadRow>): number[] => [...rows].flatMap(({endpoint, open, promptUnits}) => [endpoint, open, promptUnits]);
