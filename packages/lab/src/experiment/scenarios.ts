import type {Scenario} from './scenario.js';

const hour = 3600;
const minute = 60;

const tenBudgets = {
	large1: 30, large2: 20, large3: 15, small1: 6, small2: 6, small3: 6, small4: 5, small5: 5, small6: 4, small7: 3,
};

const calm: Scenario = {
	name: 'calm',
	seconds: hour,
	halls: {a: 5, b: 3, c: 2},
	hostsPerHall: 3,
	requestsPerSecond: 6,
	budgets: tenBudgets,
	funding: 1.1,
	cuts: [],
	outages: [],
	deaths: [],
};

const everyHost = (scenario: Scenario, from: number, gap: number): Scenario['deaths'] =>
	Object.keys(scenario.halls).flatMap((hall, hallIndex) =>
		Array.from({length: scenario.hostsPerHall}, (_, host) => ({at: from + (gap * ((hallIndex * scenario.hostsPerHall) + host)), hall, host})));

/** The named scenarios, at the sizes of the brief's two deployments: three halls, eight or nine hosts, ten organisations. */
export const scenarios: readonly Scenario[] = [
	calm,
	{
		...calm, name: 'hot organisation near its end', budgets: {hot: 1}, funding: 0.9,
	},
	{
		...calm, name: 'halls cut off for an hour', seconds: hour + (20 * minute), cuts: [{from: 10 * minute, to: hour + (10 * minute)}],
	},
	{
		...calm, name: 'cut, and the budget runs out in it', seconds: hour, budgets: {hot: 1}, funding: 0.7, cuts: [{from: 10 * minute, to: 55 * minute}],
	},
	{
		...calm, name: 'store down 20 minutes, a host killed in it', outages: [{from: 10 * minute, to: 30 * minute}], deaths: [{at: 15 * minute, hall: 'a', host: 0}],
	},
	{...calm, name: 'rolling replacement of all hosts', deaths: everyHost(calm, 5 * minute, 5 * minute)},
	{
		...calm,
		name: 'store down, then a cut, hot organisation',
		seconds: hour,
		budgets: {hot: 1},
		funding: 1.05,
		outages: [{from: 5 * minute, to: 50 * minute}],
		cuts: [{from: 20 * minute, to: 40 * minute}],
	},
];
