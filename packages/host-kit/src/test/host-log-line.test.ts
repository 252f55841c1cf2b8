import test from 'ava';
import {hostLogLine} from '../host-log-line.js';

const line = {
	time: 't', host: 'edge-1', event: 'request_refused', fields: {}, dropped: 0,
};

test('the host of a request does not take the place of the host that logs', t => {
	t.is(hostLogLine({...line, fields: {id: 'a', host: 'fleet.example'}}), 'time=t host=edge-1 event=request_refused id=a host=fleet.example');
});

test('lines that were dropped are told once, and nothing is added otherwise', t => {
	t.is(hostLogLine(line), 'time=t host=edge-1 event=request_refused');
	t.is(hostLogLine({...line, dropped: 3}), 'time=t host=edge-1 event=request_refused dropped=3');
});
