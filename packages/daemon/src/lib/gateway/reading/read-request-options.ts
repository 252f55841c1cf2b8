import type {Bundle} from '@deckwheel/bundle';
import {
	fail, succeed, type Clock, type Result, type Refusal,
} from '@deckwheel/core';
import type {Priority} from '@deckwheel/routing';
import type {Caller} from '../caller.js';
import {issueKey} from '../issue-key.js';
import type {RequestKey} from '../request-key.js';
import {readKey} from './read-key.js';
import type {RequestOptions} from './request-options.js';

const keyPattern = /^[\w.:~+/=-]{1,200}$/;

/** The longest deadline that a caller may ask for, in ms: a day. */
const longestDeadlineMs = 86_400_000;
const order: readonly Priority[] = ['quick', 'normal', 'slow'];

/** The names of the headers that callers steer a request with. */
const headerNames = {
	key: 'idempotency-key',
	deadline: 'x-deadline',
	priority: 'x-priority',
	session: 'x-session',
	notRepeatable: 'x-not-repeatable',
	lastEventId: 'last-event-id',
} as const;

type Sources = {
	readonly header: (name: string) => string;
	readonly bundle: Bundle;
	/** The hall in which a key that is issued now will be claimed. */
	readonly home: string;
	readonly caller: Caller;
	readonly clock: Clock;
};

const bad = (message: string): Result<never, Refusal> => fail({code: 'bad_request', message, ran: 'not_run'});

const readDeadline = (text: string, {bundle, clock}: Sources): Result<number, Refusal> => {
	if (text === '') {
		return succeed(clock.wall() + (bundle.limits.defaultDeadlineSeconds * 1000));
	}

	const deadline = /^\d+$/.test(text) ? Number(text) : Date.parse(text);
	return Number.isFinite(deadline) && deadline < clock.wall() + longestDeadlineMs
		? succeed(deadline)
		: bad(`${headerNames.deadline} must be a time within a day from now: milliseconds since 1970, or ISO 8601.`);
};

const readPriority = (text: string, {caller}: Sources): Result<Priority, Refusal> => {
	if (text === '') {
		return succeed(caller.priority === 'quick' ? 'normal' : caller.priority);
	}

	const wanted = order.find(priority => priority === text);
	if (!wanted) {
		return bad(`${headerNames.priority} must be quick, normal or slow.`);
	}

	// An organisation may ask for less than its priority, not for more.
	return succeed(order.indexOf(wanted) < order.indexOf(caller.priority) ? caller.priority : wanted);
};

const readRequestKey = (text: string, {bundle, home, clock}: Sources): Result<RequestKey, Refusal> => {
	if (text === '') {
		return succeed(issueKey(home, clock.wall()));
	}

	if (!keyPattern.test(text)) {
		return bad(`${headerNames.key} must have 1 to 200 characters out of A-Z a-z 0-9 _ . : ~ + / = -`);
	}

	const key = readKey(text, bundle.halls.map(({id}) => id));
	return key ? succeed(key) : bad(`${headerNames.key} names a hall that does not exist.`);
};

/** Reads what a caller's headers say of a request. */
export const readRequestOptions = (sources: Sources): Result<RequestOptions, Refusal> => {
	const {header, clock} = sources;
	const deadline = readDeadline(header(headerNames.deadline), sources);
	if (!deadline.ok) {
		return deadline;
	}

	const priority = readPriority(header(headerNames.priority), sources);
	if (!priority.ok) {
		return priority;
	}

	const key = readRequestKey(header(headerNames.key), sources);
	if (!key.ok) {
		return key;
	}

	const notRepeatable = header(headerNames.notRepeatable);
	if (!['', 'true', 'false'].includes(notRepeatable)) {
		return bad(`${headerNames.notRepeatable} must be true or false.`);
	}

	return succeed({
		key: key.value,
		isKeyPresented: header(headerNames.key) !== '',
		deadline: deadline.value,
		monotonicDeadline: clock.monotonic() + deadline.value - clock.wall(),
		priority: priority.value,
		session: header(headerNames.session).slice(0, 200) || undefined,
		isNotRepeatable: notRepeatable === 'true',
		hasEvents: Number(header(headerNames.lastEventId)) > 0,
	});
};
