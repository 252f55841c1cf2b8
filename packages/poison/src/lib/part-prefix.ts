/** What the subjects of parts begin with. Fingerprints of requests have no colon. */
export const partPrefix = 'part:';
