import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import type {DifferenceRow} from './difference-row.js';

/** Draws differences with their intervals, a panel for each figure, as SVG. */
export const drawDifferences = async (rows: readonly DifferenceRow[], title: string): Promise<string> => {
	const y = {field: 'day', type: 'nominal', title: ''} as const;
	const spec: TopLevelSpec = {
		title,
		data: {values: [...rows]},
		facet: {row: {field: 'figure', type: 'nominal', title: ''}},
		resolve: {scale: {x: 'independent'}},
		spec: {
			layer: [
				{mark: 'rule', encoding: {y, x: {field: 'low', type: 'quantitative', title: 'with less base, 95 % interval'}, x2: {field: 'high'}}},
				{mark: {type: 'point', filled: true}, encoding: {y, x: {field: 'mean', type: 'quantitative'}}},
				{mark: {type: 'rule', strokeDash: [4, 4]}, encoding: {x: {datum: 0}}},
			],
		},
	};
	return new View(parse(compile(spec).spec), {renderer: 'none'}).toSVG();
};
