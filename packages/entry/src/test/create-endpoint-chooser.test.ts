import test from 'ava';
import type {PromptPart} from '../lib/admission/prompt-part.js';
import {createEndpointChooser} from '../lib/choice/create-endpoint-chooser.js';

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
