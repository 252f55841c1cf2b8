import {groupBy} from '@deckwheel/core';
import type {Peer} from '../peer.js';
import {collectorsOf} from './collectors-of.js';

type CollectorShare = {readonly collector: Peer; readonly subjects: readonly string[]};

/** Returns which of some subjects each collector collects, for all collectors among the hosts. Pure. */
export const subjectsByCollector = (subjects: readonly string[], hosts: readonly Peer[]): readonly CollectorShare[] => {
	const copies = subjects.flatMap(subject => collectorsOf(subject, hosts).map(collector => ({collector, subject})));
	return [...groupBy(copies, ({collector}) => collector.address).values()].map(entries => ({
		collector: entries[0]!.collector, subjects: entries.map(({subject}) => subject),
	}));
};
