import test from 'ava';
import {emptyRequestQueue} from '../request-queue/empty-request-queue.js';
import {enqueueRequest} from '../request-queue/enqueue-request.js';
import {expireQueuedRequests} from '../request-queue/expire-queued-requests.js';
import {dequeueRequest} from '../request-queue/dequeue-request.js';
import type {QueuedRequest} from '../request-queue/queued-request.js';
import type {QueueState} from '../request-queue/queue-state.js';

const queuedRequest = (id: number, changes: Partial<QueuedRequest> = {}): QueuedRequest => ({
	id, target: 'm', organisation: 'o', weight: 1, priority: 'normal', startBy: 10_000, ...changes,
});

const queueOf = (...requests: readonly QueuedRequest[]): QueueState => ({...emptyRequestQueue, waiting: requests});

const dequeueAll = (queue: QueueState): readonly QueuedRequest[] => {
	const {next, queue: rest} = dequeueRequest(queue, () => true, 1);
	return next ? [next, ...dequeueAll(rest)] : [];
};

test('slow requests fill at most half of the queue, which leaves places for quick ones', t => {
	const full = queueOf(...Array.from({length: 5}, (_, id) => queuedRequest(id, {priority: 'slow'})));
	t.false(enqueueRequest(full, queuedRequest(9, {priority: 'slow'}), 10, 0).isAdmitted);
	t.true(enqueueRequest(full, queuedRequest(9, {priority: 'quick'}), 10, 0).isAdmitted);
});

test('a request that is not expected to start in time is not admitted', t => {
	const queue = {...queueOf(queuedRequest(1), queuedRequest(2)), msPerStart: 100};
	t.false(enqueueRequest(queue, queuedRequest(3, {startBy: 150}), 10, 0).isAdmitted);
	t.true(enqueueRequest(queue, queuedRequest(3, {startBy: 250}), 10, 0).isAdmitted);
});

test('a queued request expires as soon as it is expected to start too late', t => {
	const queue = {...queueOf(queuedRequest(1), queuedRequest(2, {startBy: 150})), msPerStart: 200};
	t.deepEqual(expireQueuedRequests(queue, 0).expired.map(({id}) => id), [2]);
});

test('quick requests start first, and slow ones still start between them', t => {
	const quick = Array.from({length: 40}, (_, id) => queuedRequest(id, {priority: 'quick'}));
	const order = dequeueAll(queueOf(queuedRequest(100, {priority: 'slow'}), ...quick)).map(({priority}) => priority);
	t.is(order[0], 'quick');
	t.true(order.indexOf('slow') > 5);
	t.true(order.indexOf('slow') < 40);
});

test('an organisation with many queued requests does not delay another one\'s request', t => {
	const many = Array.from({length: 20}, (_, id) => queuedRequest(id, {organisation: 'many'}));
	const order = dequeueAll(queueOf(...many, queuedRequest(50, {organisation: 'few'}))).map(({organisation}) => organisation);
	t.true(order.indexOf('few') <= 2);
});
