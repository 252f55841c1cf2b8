/** The kinds of steps that the model of `createLedgerModel` can carry out. */
export type StepName =
	| 'breakLink'
	| 'claim'
	| 'crash'
	| 'deliver'
	| 'draw'
	| 'finishWrite'
	| 'giveBack'
	| 'learnPair'
	| 'propose'
	| 'receive'
	| 'restart'
	| 'resync'
	| 'settle'
	| 'want';
