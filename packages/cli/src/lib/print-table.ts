import {ownValue} from '@deckwheel/core';

type Row = Readonly<Record<string, string | number | boolean | undefined>>;

/** Lays rows out as a table, with the columns of the first row. */
export const printTable = (rows: readonly Row[]): string => {
	const names = Object.keys(rows[0] ?? {});
	const lines = [names, ...rows.map(row => names.map(name => String(ownValue(row, name) ?? '-')))];
	const widths = names.map((_, column) => Math.max(...lines.map(line => line[column]!.length)));
	return lines.map(line => line.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
};
