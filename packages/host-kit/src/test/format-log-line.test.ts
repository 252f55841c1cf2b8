import test from 'ava';
import {formatLogLine} from '../format-log-line.js';

test('plain values are not quoted, other values are quoted, and undefined fields are left out', t => {
	t.is(formatLogLine({
		event: 'started', host: 'a-1#2', reason: 'load=1 cached=2', ms: 3, none: undefined,
	}), 'event=started host=a-1#2 reason="load=1 cached=2" ms=3');
});
