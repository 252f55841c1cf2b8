import type {EndpointLoad} from '@deckwheel/routing';
import test from 'ava';
import {defaultPlacing} from '../default-placing.js';
import type {PromptPart} from '../lib/admission/prompt-part.js';
import {createEndpointChooser} from '../lib/choice/create-endpoint-chooser.js';
import type {Placing} from '../lib/choice/placing.js';

const endpoint = (id: string, hall: string) => ({
	id, instance: id, hall, address: '10.0.0.1:1', serves: ['s'], slots: 1, isLeaving: false,
});

const prompt = [{id: 'shared', tokens: 100_000}, {id: 'own', tokens: 10}];

const requestWith = (parts: readonly PromptPart[], tried: readonly string[], avoidedHalls: readonly string[]) => ({
	service: 's', parts, tried, avoidedHalls, regions: [],
});

test('endpoints of an unreachable hall are not chosen; those of a hall to which the request could not connect are a last resort', t => {
	let unreachableHall = '';
	const chooser = createEndpointChooser({hall: 'a', isUnreachable: hall => hall === unreachableHall, now: () => 0});
	chooser.list([endpoint('near', 'a'), endpoint('far', 'b')]);
	for (let i = 0; i < 5; i++) {
		chooser.noteStarted('near', []);
	}

	t.is(chooser.choose(requestWith([], [], []))?.endpoint.id, 'far');
	t.is(chooser.choose(requestWith([], [], ['b']))?.endpoint.id, 'near');
	unreachableHall = 'b';
	t.is(chooser.choose(requestWith([], [], []))?.endpoint.id, 'near');
	t.is(chooser.choose(requestWith(prompt, ['near'], [])), undefined);
	unreachableHall = '';
	t.is(chooser.choose(requestWith(prompt, ['near'], ['b']))?.endpoint.id, 'far');
});

const incarnationOf = (name: string, incarnation: number) => ({...endpoint(name, 'a'), id: `${name}@${incarnation}`, slots: 8});
const names = ['e1', 'e2', 'e3', 'e4'];

test('a new incarnation of an endpoint does not count as having cached the prompts of the previous one', t => {
	const chooser = createEndpointChooser({hall: 'a', isUnreachable: () => false, now: () => 0});
	chooser.list(names.map(name => incarnationOf(name, 1)));
	const preferred = chooser.choose(requestWith(prompt, [], []))!.endpoint;
	chooser.noteStarted(preferred.id, prompt);
	// The prompt is sent to a second endpoint too. That this endpoint has it cached is known only from this host's own request.
	const other = chooser.choose(requestWith(prompt, [preferred.id], []))!.endpoint;
	chooser.noteStarted(other.id, prompt);
	chooser.list(names.map(name => incarnationOf(name, name === other.instance ? 2 : 1)));
	t.regex(chooser.choose(requestWith(prompt, [preferred.id], []))!.reason, / cached=0\//);
});

test('a restarted endpoint is still the preferred one for its prompts', t => {
	const chooser = createEndpointChooser({hall: 'a', isUnreachable: () => false, now: () => 0});
	chooser.list(names.map(name => incarnationOf(name, 1)));
	const preferred = chooser.choose(requestWith(prompt, [], []))!.endpoint;
	chooser.list(names.map(name => incarnationOf(name, name === preferred.instance ? 2 : 1)));
	t.is(chooser.choose(requestWith(prompt, [], []))!.endpoint.id, `${preferred.instance}@2`);
});

const idle: EndpointLoad = {
	open: 0, pendingPromptTokens: 0, pace: 1, ageMs: 100,
};

const placingBy = (loadOf: (id: string) => EndpointLoad, isOn: () => boolean): Placing => ({
	...defaultPlacing, isOn, loadOf, random: Math.random,
});

test('load that other hosts report decides only while placing is on', t => {
	let isOn = true;
	const loadOf = (id: string): EndpointLoad => id === 'e2' ? idle : {...idle, open: 7, pendingPromptTokens: 50_000};
	const chooser = createEndpointChooser({
		hall: 'a', isUnreachable: () => false, placing: placingBy(loadOf, () => isOn), now: () => 0,
	});
	chooser.list(['e1', 'e2'].map(id => ({...endpoint(id, 'a'), slots: 8})));
	const chosen = (): readonly string[] => Array.from({length: 100}, () => chooser.choose(requestWith([], [], []))!.endpoint.id);
	t.deepEqual([...new Set(chosen())], ['e2']);
	isOn = false;
	t.deepEqual([...new Set(chosen())], ['e1']);
	t.regex(chooser.choose(requestWith([], [], []))!.reason, /^read_ms=/);
	isOn = true;
	t.regex(chooser.choose(requestWith([], [], []))!.reason, /^cost_ms=\d+ open=\d pending=\d+ pace=1\.00 age_ms=100 cached=0\/0 hall_ms=0 cold_ms=0$/);
});

// Guards against requests at endpoints that must get none, since their reported load looks good.
test('with placing, endpoints that leave, are ejected, evacuated, out of reach or cold get nothing although they have the prompt cached', t => {
	const warmup = {warmupMs: 0, reopenedAt: new Map<string, number>(), isSender: () => false};
	const chooser = createEndpointChooser({
		hall: 'a', isUnreachable: hall => hall === 'lost', warmupRules: () => warmup, placing: placingBy(() => idle, () => true), now: () => 0,
	});
	chooser.list([
		endpoint('well', 'a'),
		{...endpoint('leaving', 'a'), isLeaving: true},
		endpoint('told', 'a'),
		endpoint('ejected', 'a'),
		endpoint('evacuated', 'b'),
		endpoint('lost', 'lost'),
		{...endpoint('cold', 'a'), coldUntil: 1},
		{...endpoint('other', 'a'), serves: ['other']},
	]);
	for (const id of ['leaving', 'told', 'ejected', 'evacuated', 'lost', 'cold', 'other']) {
		chooser.noteStarted(id, prompt);
		chooser.note({type: 'abandoned', endpoint: id});
	}

	chooser.note({type: 'leaving', endpoint: 'told'});
	chooser.note({type: 'gone', endpoint: 'ejected'});
	chooser.evacuate(new Set(['b']));
	for (let round = 0; round < 200; round++) {
		t.is(chooser.choose(requestWith(prompt, [], []))!.endpoint.id, 'well');
		t.is(chooser.choose(requestWith([], [], []))!.endpoint.id, 'well');
	}

	t.is(chooser.choose(requestWith(prompt, ['well'], [])), undefined);
});

test('the tokens to be prefilled leave out what is cached at the chosen endpoint', t => {
	const chooser = createEndpointChooser({
		hall: 'a', isUnreachable: () => false, placing: placingBy(() => idle, () => true), now: () => 0,
	});
	chooser.list(names.map(name => incarnationOf(name, 1)));
	const first = chooser.choose(requestWith(prompt, [], []))!;
	t.is(first.uncachedTokens, 10);
	t.is(chooser.choose(requestWith(prompt, names.map(name => `${name}@1`).filter(id => id !== first.endpoint.id), []))!.uncachedTokens, 10);
	t.is(chooser.choose(requestWith([{id: 'own', tokens: 10}], [], []))!.uncachedTokens, 10);
	t.is(chooser.choose(requestWith([], [], []))!.uncachedTokens, 0);
});
