/**
Whether tokens could be set aside. `exhausted`: the budget is used up; `unavailable`: what remains is out of reach;
`kept`: what remains is for more urgent or for later requests.
*/
export type ReserveOutcome = 'reserved' | 'exhausted' | 'unavailable' | 'kept';
