use super::*;

// An episode that no fleet runs, or two run, would make the counts in the tables wrong.
#[test]
fn every_episode_is_run_once() {
    let run = |t: &Task| Ok((t.dispatchers, t.numbers.clone()));
    let all = beside(Path::new("p"), Path::new("f"), 4, 10, run).unwrap();
    let mut numbers: Vec<u32> = all.iter().flat_map(|l| l.1.clone()).collect();
    numbers.sort();
    assert_eq!(numbers, (0..10).collect::<Vec<_>>());
    assert_eq!(all.iter().map(|l| l.0).collect::<Vec<_>>(), [3, 5, 3, 5]);
}
