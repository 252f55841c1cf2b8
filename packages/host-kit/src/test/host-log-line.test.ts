import test from 'ava';
import {hostLogLine} from '../host-log-line.js';

const baseEvent = {
	time: 't', host: 'edge-1', event: 'request_refused', fields: {}, dropped: 0,
};

test('the host field of a request does not replace the host that logs', t => {
	t.is(hostLogLine({...baseEvent, fields: {id: 'a', host: 'fleet.example'}}), 'time=t host=edge-1 event=request_refused id=a host=fleet.example');
});

test('a line reports dropped lines, and has no dropped field without them', t => {
	t.is(hostLogLine(baseEvent), 'time=t host=edge-1 event=request_refused');
	t.is(hostLogLine({...baseEvent, dropped: 3}), 'time=t host=edge-1 event=request_refused dropped=3');
});
