// Measures what one choice of an endpoint costs, in ms: by own open requests, and by expected time. Needs a build: `npm run measure-choice`.
import {defaultPlacing} from '../packages/entry/dist/default-placing.js';
import {createEndpointChooser} from '../packages/entry/dist/lib/choice/create-endpoint-chooser.js';

/** Rounds of each measurement, and choices of each round; the median of the rounds is shown. */
const rounds = 7;
const choices = 2000;

/** The shared prefixes among the prompts. */
const prefixes = 200;

const measure = (endpointCount, isByExpectedTime) => {
	const loadOf = () => ({
		open: Math.floor(Math.random() * 4), pendingPromptTokens: Math.random() < 0.2 ? 3000 : 0, pace: 1, ageMs: 300,
	});
	const chooser = createEndpointChooser({
		hall: 'hall-0',
		isUnreachable: () => false,
		placing: {
			...defaultPlacing, isOn: () => isByExpectedTime, loadOf, random: Math.random,
		},
		now: () => performance.now(),
	});
	chooser.list(Array.from({length: endpointCount}, (_, index) => ({
		id: `server-${index}@1700000000000`, instance: `server-${index}`, hall: `hall-${index % 4}`, address: '10.0.0.1:80', serves: ['s'], slots: 32, isLeaving: false, region: 'north',
	})));
	const chooseAll = () => {
		for (let index = 0; index < choices; index++) {
			const prefix = index % prefixes;
			const parts = [{id: `quarter-${prefix % 4}`, tokens: 2500}, {id: `group-${prefix}`, tokens: 3800}, {id: `own-${index}`, tokens: 2890}];
			const chosen = chooser.choose({
				service: 's', parts, tried: [], avoidedHalls: [], regions: [['north']],
			});
			if (index % 10 === 0) {
				chooser.noteStarted(chosen.endpoint.id, parts);
				chooser.note({type: 'abandoned', endpoint: chosen.endpoint.id});
			}
		}
	};

	const times = Array.from({length: rounds + 1}, () => {
		const startedAt = performance.now();
		chooseAll();
		return (performance.now() - startedAt) / choices;
	});
	// The first round, in which nothing is compiled or remembered yet, is left out.
	return times.slice(1).toSorted((a, b) => a - b)[Math.floor(rounds / 2)];
};

for (const endpointCount of [100, 900]) {
	for (const isByExpectedTime of [false, true]) {
		console.log(`endpoints=${endpointCount} by=${isByExpectedTime ? 'expected_time' : 'own_requests'} ms=${measure(endpointCount, isByExpectedTime).toPrecision(3)}`);
	}
}
