import type {OpenAttempt} from './open-attempt.js';
import type {OpenAttempts} from './open-attempts.js';

/** Creates an empty set of open attempts. */
export const createOpenAttempts = (): OpenAttempts => {
	const attempts = new Set<OpenAttempt>();
	return {
		add(attempt) {
			attempts.add(attempt);
			return () => {
				attempts.delete(attempt);
			};
		},
		oldest(isMeant) {
			let oldest: OpenAttempt | undefined;
			for (const attempt of attempts) {
				if (isMeant(attempt) && (oldest === undefined || attempt.sentAt < oldest.sentAt)) {
					oldest = attempt;
				}
			}

			return oldest;
		},
		endpointCount: isMeant => new Set([...attempts].filter(attempt => isMeant(attempt)).map(({endpoint}) => endpoint.id)).size,
		abandon(isMeant) {
			for (const attempt of attempts) {
				if (isMeant(attempt)) {
					attempt.abandon?.();
				}
			}
		},
	};
};
