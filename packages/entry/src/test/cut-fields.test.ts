import test from 'ava';
import {cutFieldsOf} from '../lib/shutdown/cut-fields.js';

const signal = {sentAfter: 1000, noticedAt: 3500, killedAfter: 9000};
const plan = {forwardAllUntil: 3850};

test('the log tells when a request came that the shutdown ended, what was left then, and why it was taken', t => {
	const fieldsOf = (receivedAt: number) => cutFieldsOf({signal, plan, receivedAt});
	t.deepEqual(fieldsOf(800), {cut_received_ms: -200, cut_grace_left_ms: 8200, cut_taken: 'before_stop'});
	t.deepEqual(fieldsOf(3400), {cut_received_ms: 2400, cut_grace_left_ms: 5600, cut_taken: 'before_stop'});
	t.deepEqual(fieldsOf(3600), {cut_received_ms: 2600, cut_grace_left_ms: 5400, cut_taken: 'linger'});
	t.deepEqual(fieldsOf(4000), {cut_received_ms: 3000, cut_grace_left_ms: 5000, cut_taken: 'deadline'});
});
