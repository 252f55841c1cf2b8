import test from 'ava';
import {createEventMetrics} from '../metrics/create-event-metrics.js';

test('log events are counted in the metrics, with their latency, arrivals and tokens', async t => {
	const metrics = createEventMetrics();
	metrics.note('request_answered', {
		ms: 30, first_ms: 8, route: 'r', arrivals: 2, used: 100,
	});
	metrics.note('request_refused', {code: 'no_endpoint', ms: 1});
	metrics.note('request_refused', {code: 'host_overloaded', cause: 'link', rank: 1});
	metrics.note('rights_drawn', {tokens: 500});
	metrics.note('started');
	const text = await metrics.text();
	t.true(text.includes('deckwheel_events_total{event="request_refused",code="no_endpoint"} 1'));
	t.true(text.includes('deckwheel_request_ms_bucket{le="50",event="request_answered",route="r"} 1'));
	t.true(text.includes('deckwheel_turned_away_total{cause="link",rank="1"} 1'));
	t.true(text.includes('deckwheel_first_byte_ms_bucket{le="10",route="r"} 1'));
	t.true(text.includes('deckwheel_arrivals_total 2'));
	t.true(text.includes('deckwheel_tokens_used_total 100'));
	t.true(text.includes('deckwheel_rights_tokens_total{event="rights_drawn"} 500'));
});

test('the metrics show the most bytes that the host held in the latest interval', async t => {
	const metrics = createEventMetrics();
	metrics.note('held_bytes', {max: 70_000, no_room: 2});
	metrics.note('held_bytes', {max: 3000});
	metrics.note('held_bytes', {no_room: 2});
	const text = await metrics.text();
	t.true(text.includes('deckwheel_held_bytes 3000\n'));
});
